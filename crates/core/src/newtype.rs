//! Macros that define newtypes with a common set of traits.

/// Defines an identifier that wraps a `String`, with `Display`, `FromStr` and serde as plain text.
///
/// Parsing accepts 1 to 128 ASCII letters, digits, `-`, `_` and `.`. `$type_name` is the name of the type
/// in errors.
#[macro_export]
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $type_name:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Deserialize)]
        #[serde(try_from = "String")]
        pub struct $name(String);

        impl ::serde::Serialize for $name {
            fn serialize<S: ::serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = $crate::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                $crate::check_text_id($type_name, text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = $crate::ParseError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                $crate::check_text_id($type_name, &text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0
            }
        }
    };
}

/// Defines a `Copy` newtype over an unsigned integer, with `Display`, `FromStr` and serde as a plain
/// number. `$type_name` is the name of the type in errors.
#[macro_export]
macro_rules! number_newtype {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $type_name:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl ::std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                ::std::fmt::Display::fmt(&self.0, formatter)
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = $crate::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| $crate::ParseError::not_a($type_name, text))
            }
        }
    };
}
