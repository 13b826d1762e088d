//! A serde deserializer over the syntax tree of a document, which keeps the place of each value.
//!
//! `jsonc-parser` can turn a document into `serde_json` values, but they carry no positions; an
//! operator who mistypes a field needs the line, so that values are read from the tree instead.

use jsonc_parser::ast::{ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::value::StrDeserializer;
use serde::de::{DeserializeOwned, DeserializeSeed, Deserializer, EnumAccess, Error, IntoDeserializer, MapAccess};
use serde::de::{SeqAccess, Unexpected, VariantAccess, Visitor};
use serde::forward_to_deserialize_any;

use super::{DocumentError, Place};

/// Reads a value from a document in JSON with comments. Trailing commas are allowed; the other
/// extensions of the format are refused, so that standard tools can read the files too.
///
/// # Errors
///
/// Returns the first fault with its place, field and offending text.
pub fn parse_document<T: DeserializeOwned>(file_name: &str, text: &str) -> Result<T, DocumentError> {
    let error_at = |range: Range, field: String, message: String| DocumentError {
        place: Place::of_byte(file_name, text, range.start),
        field,
        value: quote(text, range),
        message,
    };
    let whole = Range::new(0, 0);
    let parsed = parse_to_ast(text, &CollectOptions::default(), &strict_options())
        .map_err(|error| error_at(error.range(), String::new(), error.kind().to_string()))?;
    let Some(value) = parsed.value else {
        return Err(error_at(whole, String::new(), "the document is empty".to_owned()));
    };
    T::deserialize(ValueReader { value: &value }).map_err(|error| {
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

/// Returns the first line of the text at `range`, cut to the longest quoted length.
fn quote(text: &str, range: Range) -> String {
    let found = text.get(range.start..range.end).unwrap_or_default();
    let line = found.lines().next().unwrap_or_default();
    line.chars().take(DocumentError::MAX_VALUE_CHARS).collect()
}

/// A fault found while values are built; the innermost value that failed gives the place.
#[derive(Debug)]
struct PlacedError {
    message: String,
    range: Option<Range>,
    path: Vec<String>,
}

impl PlacedError {
    fn or_at(mut self, range: Range) -> Self {
        self.range.get_or_insert(range);
        self
    }

    fn under(mut self, segment: String) -> Self {
        self.path.push(segment);
        self
    }

    fn field(&self) -> String {
        let segments: Vec<_> = self.path.iter().rev().map(String::as_str).collect();
        segments.join(".")
    }
}

impl std::fmt::Display for PlacedError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.message)
    }
}

impl std::error::Error for PlacedError {}

impl Error for PlacedError {
    fn custom<T: std::fmt::Display>(message: T) -> Self {
        Self { message: message.to_string(), range: None, path: Vec::new() }
    }
}

#[derive(Clone, Copy)]
struct ValueReader<'t> {
    value: &'t Value<'t>,
}

impl<'de> ValueReader<'_> {
    fn visit<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, PlacedError> {
        match self.value {
            Value::StringLit(string) => visitor.visit_str(&string.value),
            Value::NumberLit(number) => visit_number(number.value, visitor),
            Value::BooleanLit(boolean) => visitor.visit_bool(boolean.value),
            Value::NullKeyword(_) => visitor.visit_unit(),
            Value::Array(array) => visitor.visit_seq(ElementReader { elements: array.elements.iter().enumerate() }),
            Value::Object(object) => {
                visitor.visit_map(PropertyReader { properties: object.properties.iter(), pending: None })
            }
        }
    }
}

fn visit_number<'de, V: Visitor<'de>>(text: &str, visitor: V) -> Result<V::Value, PlacedError> {
    if let Ok(unsigned) = text.parse() {
        return visitor.visit_u64(unsigned);
    }
    if let Ok(signed) = text.parse() {
        return visitor.visit_i64(signed);
    }
    match text.parse() {
        Ok(float) => visitor.visit_f64(float),
        Err(_) => Err(PlacedError::invalid_value(Unexpected::Str(text), &"a number")),
    }
}

impl<'de> Deserializer<'de> for ValueReader<'_> {
    type Error = PlacedError;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, PlacedError> {
        self.visit(visitor).map_err(|error| error.or_at(self.value.range()))
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, PlacedError> {
        match self.value {
            Value::NullKeyword(_) => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, PlacedError> {
        visitor.visit_newtype_struct(self).map_err(|error| error.or_at(self.value.range()))
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        _variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, PlacedError> {
        let range = self.value.range();
        let access = match self.value {
            Value::StringLit(name) => VariantReader { name: &name.value, property: None },
            Value::Object(object) if object.properties.len() == 1 => {
                let property = &object.properties[0];
                VariantReader { name: property.name.as_str(), property: Some(property) }
            }
            _ => {
                let message = "expected a name or an object with exactly one name";
                return Err(PlacedError::custom(message).or_at(range));
            }
        };
        visitor.visit_enum(access).map_err(|error| error.or_at(range))
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit
        unit_struct seq tuple tuple_struct map struct identifier ignored_any
    }
}

struct ElementReader<'t> {
    elements: std::iter::Enumerate<std::slice::Iter<'t, Value<'t>>>,
}

impl<'de> SeqAccess<'de> for ElementReader<'_> {
    type Error = PlacedError;

    fn next_element_seed<S: DeserializeSeed<'de>>(&mut self, seed: S) -> Result<Option<S::Value>, PlacedError> {
        let Some((index, value)) = self.elements.next() else { return Ok(None) };
        let element = seed.deserialize(ValueReader { value });
        element.map(Some).map_err(|error| error.or_at(value.range()).under(index.to_string()))
    }
}

struct PropertyReader<'t> {
    properties: std::slice::Iter<'t, ObjectProp<'t>>,
    pending: Option<&'t ObjectProp<'t>>,
}

impl<'de> MapAccess<'de> for PropertyReader<'_> {
    type Error = PlacedError;

    fn next_key_seed<S: DeserializeSeed<'de>>(&mut self, seed: S) -> Result<Option<S::Value>, PlacedError> {
        let Some(property) = self.properties.next() else { return Ok(None) };
        self.pending = Some(property);
        let name = property.name.as_str();
        let key: StrDeserializer<'_, PlacedError> = name.into_deserializer();
        let key = seed.deserialize(key);
        key.map(Some).map_err(|error| error.or_at(property.name.range()).under(name.to_owned()))
    }

    fn next_value_seed<S: DeserializeSeed<'de>>(&mut self, seed: S) -> Result<S::Value, PlacedError> {
        let Some(property) = self.pending.take() else {
            return Err(PlacedError::custom("a value was read before its name"));
        };
        let value = seed.deserialize(ValueReader { value: &property.value });
        value.map_err(|error| error.or_at(property.value.range()).under(property.name.as_str().to_owned()))
    }
}

struct VariantReader<'t> {
    name: &'t str,
    property: Option<&'t ObjectProp<'t>>,
}

impl<'de, 't> EnumAccess<'de> for VariantReader<'t> {
    type Error = PlacedError;
    type Variant = VariantValueReader<'t>;

    fn variant_seed<S: DeserializeSeed<'de>>(self, seed: S) -> Result<(S::Value, Self::Variant), PlacedError> {
        let name: StrDeserializer<'_, PlacedError> = self.name.into_deserializer();
        let variant = seed.deserialize(name).map_err(|error| match self.property {
            Some(property) => error.or_at(property.name.range()).under(self.name.to_owned()),
            None => error,
        })?;
        Ok((variant, VariantValueReader { property: self.property }))
    }
}

struct VariantValueReader<'t> {
    property: Option<&'t ObjectProp<'t>>,
}

impl VariantValueReader<'_> {
    fn read<'de, S: DeserializeSeed<'de>>(self, seed: S) -> Result<S::Value, PlacedError> {
        let Some(property) = self.property else {
            return Err(PlacedError::custom("this name needs a value"));
        };
        let value = seed.deserialize(ValueReader { value: &property.value });
        value.map_err(|error| error.or_at(property.value.range()).under(property.name.as_str().to_owned()))
    }
}

/// Hands a visitor to the deserializer's general method, so that variants read like other values.
struct AnySeed<V>(V);

impl<'de, V: Visitor<'de>> DeserializeSeed<'de> for AnySeed<V> {
    type Value = V::Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<V::Value, D::Error> {
        deserializer.deserialize_any(self.0)
    }
}

impl<'de> VariantAccess<'de> for VariantValueReader<'_> {
    type Error = PlacedError;

    fn unit_variant(self) -> Result<(), PlacedError> {
        match self.property {
            None => Ok(()),
            Some(property) => {
                let error = PlacedError::custom("this name takes no value");
                Err(error.or_at(property.value.range()).under(property.name.as_str().to_owned()))
            }
        }
    }

    fn newtype_variant_seed<S: DeserializeSeed<'de>>(self, seed: S) -> Result<S::Value, PlacedError> {
        self.read(seed)
    }

    fn tuple_variant<V: Visitor<'de>>(self, _len: usize, visitor: V) -> Result<V::Value, PlacedError> {
        self.read(AnySeed(visitor))
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        _fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, PlacedError> {
        self.read(AnySeed(visitor))
    }
}
