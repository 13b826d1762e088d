//! Macro for enumerations whose values are command-line arguments.

/// Defines an enumeration with a name for each value, and implements `Display`, `FromStr` and serde with
/// these names. `$type_name` is the name of the enumeration in errors.
macro_rules! named_enum {
    ($(#[$doc:meta])* $type:ident, $type_name:literal, {
        $($(#[$value_doc:meta])* $value:ident = $name:literal,)+
    }) => {
        $(#[$doc])*
        #[::fulmartrestle_derive::value]
        #[serde(rename_all = "kebab-case")]
        pub enum $type {
            $($(#[$value_doc])* $value,)+
        }

        impl $type {
            /// All values in the order of their definition.
            pub const ALL: &'static [Self] = &[$(Self::$value,)+];

            /// Returns the value's name on the command line.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$value => $name,)+
                }
            }
        }

        impl ::std::fmt::Display for $type {
            fn fmt(&self, formatter: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                formatter.write_str(self.as_str())
            }
        }

        impl ::std::str::FromStr for $type {
            type Err = ::fulmartrestle_core::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let found = Self::ALL.iter().copied().find(|value| value.as_str() == text);
                found.ok_or_else(|| ::fulmartrestle_core::ParseError::not_a($type_name, text))
            }
        }
    };
}

pub(crate) use named_enum;
