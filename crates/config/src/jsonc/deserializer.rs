//! A serde deserializer over the syntax tree of a document.
//!
//! `jsonc-parser` can turn a document into `serde_json` values, but these carry no positions. An operator who
//! mistypes a field needs the line number, so values are deserialized from the syntax tree instead.

use jsonc_parser::ast::{ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::value::StrDeserializer;
use serde::de::{DeserializeOwned, DeserializeSeed, Deserializer, EnumAccess, Error, IntoDeserializer, MapAccess};
use serde::de::{SeqAccess, Unexpected, VariantAccess, Visitor};
use serde::forward_to_deserialize_any;

use super::{DocumentError, SourcePosition};

/// Deserializes a value from a document in JSON with comments. Trailing commas are allowed. Other extensions of the
/// format are rejected, so that standard tools can read the files too.
///
/// # Errors
///
/// Returns the first error with its position, field and the offending text.
pub fn parse_document<T: DeserializeOwned>(file_name: &str, text: &str) -> Result<T, DocumentError> {
    let error_at = |range: Range, field: String, message: String| DocumentError {
        position: SourcePosition::from_byte_offset(file_name, text, range.start),
        field,
        value: quote(text, range),
        message,
    };
    let document_start = Range::new(0, 0);
    let parsed = parse_to_ast(text, &CollectOptions::default(), &strict_options())
        .map_err(|error| error_at(error.range(), String::new(), error.kind().to_string()))?;
    let Some(value) = parsed.value else {
        return Err(error_at(document_start, String::new(), "the document is empty".to_owned()));
    };
    T::deserialize(ValueDeserializer { value: &value }).map_err(|error| {
        let range = error.range.unwrap_or(value.range());
        error_at(range, error.field(), error.message)
    })
}

fn strict_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// Returns the first line of the text at `range`, truncated to [`DocumentError::MAX_VALUE_CHARS`].
fn quote(text: &str, range: Range) -> String {
    let quoted = text.get(range.start..range.end).unwrap_or_default();
    let line = quoted.lines().next().unwrap_or_default();
    line.chars().take(DocumentError::MAX_VALUE_CHARS).collect()
}

/// An error of deserializing a value. Its range is that of the innermost value that failed.
#[derive(Debug)]
struct RangedError {
    message: String,
    range: Option<Range>,
    path: Vec<String>,
}

impl RangedError {
    /// Sets the range unless an inner value has set it.
    fn or_range(mut self, range: Range) -> Self {
        self.range.get_or_insert(range);
        self
    }

    /// Prepends a segment to the field path.
    fn in_field(mut self, segment: String) -> Self {
        self.path.push(segment);
        self
    }

    /// Returns the path of the field, for example `limits.max_body_bytes`.
    fn field(&self) -> String {
        let segments: Vec<_> = self.path.iter().rev().map(String::as_str).collect();
        segments.join(".")
    }
}

impl std::fmt::Display for RangedError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.message)
    }
}

impl std::error::Error for RangedError {}

impl Error for RangedError {
    fn custom<T: std::fmt::Display>(message: T) -> Self {
        Self { message: message.to_string(), range: None, path: Vec::new() }
    }
}

#[derive(Clone, Copy)]
struct ValueDeserializer<'t> {
    value: &'t Value<'t>,
}

impl<'de> ValueDeserializer<'_> {
    fn visit<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, RangedError> {
        match self.value {
            Value::StringLit(string) => visitor.visit_str(&string.value),
            Value::NumberLit(number) => visit_number(number.value, visitor),
            Value::BooleanLit(boolean) => visitor.visit_bool(boolean.value),
            Value::NullKeyword(_) => visitor.visit_unit(),
            Value::Array(array) => visitor.visit_seq(ArrayAccess { elements: array.elements.iter().enumerate() }),
            Value::Object(object) => {
                visitor.visit_map(ObjectAccess { properties: object.properties.iter(), current: None })
            }
        }
    }
}

fn visit_number<'de, V: Visitor<'de>>(text: &str, visitor: V) -> Result<V::Value, RangedError> {
    if let Ok(unsigned) = text.parse() {
        return visitor.visit_u64(unsigned);
    }
    if let Ok(signed) = text.parse() {
        return visitor.visit_i64(signed);
    }
    match text.parse() {
        Ok(float) => visitor.visit_f64(float),
        Err(_) => Err(RangedError::invalid_value(Unexpected::Str(text), &"a number")),
    }
}

impl<'de> Deserializer<'de> for ValueDeserializer<'_> {
    type Error = RangedError;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, RangedError> {
        self.visit(visitor).map_err(|error| error.or_range(self.value.range()))
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, RangedError> {
        match self.value {
            Value::NullKeyword(_) => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, RangedError> {
        visitor.visit_newtype_struct(self).map_err(|error| error.or_range(self.value.range()))
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        _variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, RangedError> {
        let range = self.value.range();
        let access = match self.value {
            Value::StringLit(name) => EnumValueAccess { name: &name.value, property: None },
            Value::Object(object) if object.properties.len() == 1 => {
                let property = &object.properties[0];
                EnumValueAccess { name: property.name.as_str(), property: Some(property) }
            }
            _ => {
                let message = "expected a string or an object with exactly one key";
                return Err(RangedError::custom(message).or_range(range));
            }
        };
        visitor.visit_enum(access).map_err(|error| error.or_range(range))
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit
        unit_struct seq tuple tuple_struct map struct identifier ignored_any
    }
}

struct ArrayAccess<'t> {
    elements: std::iter::Enumerate<std::slice::Iter<'t, Value<'t>>>,
}

impl<'de> SeqAccess<'de> for ArrayAccess<'_> {
    type Error = RangedError;

    fn next_element_seed<S: DeserializeSeed<'de>>(&mut self, seed: S) -> Result<Option<S::Value>, RangedError> {
        let Some((index, value)) = self.elements.next() else { return Ok(None) };
        let element = seed.deserialize(ValueDeserializer { value });
        element.map(Some).map_err(|error| error.or_range(value.range()).in_field(index.to_string()))
    }
}

struct ObjectAccess<'t> {
    properties: std::slice::Iter<'t, ObjectProp<'t>>,
    current: Option<&'t ObjectProp<'t>>,
}

impl<'de> MapAccess<'de> for ObjectAccess<'_> {
    type Error = RangedError;

    fn next_key_seed<S: DeserializeSeed<'de>>(&mut self, seed: S) -> Result<Option<S::Value>, RangedError> {
        let Some(property) = self.properties.next() else { return Ok(None) };
        self.current = Some(property);
        let name = property.name.as_str();
        let key: StrDeserializer<'_, RangedError> = name.into_deserializer();
        let key = seed.deserialize(key);
        key.map(Some).map_err(|error| error.or_range(property.name.range()).in_field(name.to_owned()))
    }

    fn next_value_seed<S: DeserializeSeed<'de>>(&mut self, seed: S) -> Result<S::Value, RangedError> {
        let Some(property) = self.current.take() else {
            return Err(RangedError::custom("value requested before its key"));
        };
        let value = seed.deserialize(ValueDeserializer { value: &property.value });
        value.map_err(|error| error.or_range(property.value.range()).in_field(property.name.as_str().to_owned()))
    }
}

struct EnumValueAccess<'t> {
    name: &'t str,
    property: Option<&'t ObjectProp<'t>>,
}

impl<'de, 't> EnumAccess<'de> for EnumValueAccess<'t> {
    type Error = RangedError;
    type Variant = VariantContentAccess<'t>;

    fn variant_seed<S: DeserializeSeed<'de>>(self, seed: S) -> Result<(S::Value, Self::Variant), RangedError> {
        let name: StrDeserializer<'_, RangedError> = self.name.into_deserializer();
        let variant = seed.deserialize(name).map_err(|error| match self.property {
            Some(property) => error.or_range(property.name.range()).in_field(self.name.to_owned()),
            None => error,
        })?;
        Ok((variant, VariantContentAccess { property: self.property }))
    }
}

struct VariantContentAccess<'t> {
    property: Option<&'t ObjectProp<'t>>,
}

impl VariantContentAccess<'_> {
    fn deserialize_content<'de, S: DeserializeSeed<'de>>(self, seed: S) -> Result<S::Value, RangedError> {
        let Some(property) = self.property else {
            return Err(RangedError::custom("this variant needs a value"));
        };
        let value = seed.deserialize(ValueDeserializer { value: &property.value });
        value.map_err(|error| error.or_range(property.value.range()).in_field(property.name.as_str().to_owned()))
    }
}

/// A seed that deserializes with a visitor, so that the content of a variant is deserialized like any other value.
struct VisitorSeed<V>(V);

impl<'de, V: Visitor<'de>> DeserializeSeed<'de> for VisitorSeed<V> {
    type Value = V::Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<V::Value, D::Error> {
        deserializer.deserialize_any(self.0)
    }
}

impl<'de> VariantAccess<'de> for VariantContentAccess<'_> {
    type Error = RangedError;

    fn unit_variant(self) -> Result<(), RangedError> {
        match self.property {
            None => Ok(()),
            Some(property) => {
                let error = RangedError::custom("this variant takes no value");
                Err(error.or_range(property.value.range()).in_field(property.name.as_str().to_owned()))
            }
        }
    }

    fn newtype_variant_seed<S: DeserializeSeed<'de>>(self, seed: S) -> Result<S::Value, RangedError> {
        self.deserialize_content(seed)
    }

    fn tuple_variant<V: Visitor<'de>>(self, _len: usize, visitor: V) -> Result<V::Value, RangedError> {
        self.deserialize_content(VisitorSeed(visitor))
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        _fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, RangedError> {
        self.deserialize_content(VisitorSeed(visitor))
    }
}
