//! Interned names, so that a row stores a two-byte index instead of a `String`.

/// Table of names that are stored once and referenced by index. Unused names are not removed, because the fleet has
/// only a few hundred names.
#[derive(Clone, Debug)]
pub struct NameTable<T> {
    names: Vec<T>,
}

impl<T: PartialEq + Clone> NameTable<T> {
    /// Returns an empty table.
    pub fn new() -> Self {
        Self { names: Vec::new() }
    }

    /// Returns the index of `name`, adding it when it is new. When the table is full, a new name replaces the last
    /// one, so that a flood of names cannot exhaust memory.
    pub fn intern(&mut self, name: &T) -> u16 {
        if let Some(index) = self.names.iter().position(|existing| existing == name) {
            return index as u16;
        }
        if self.names.len() > usize::from(u16::MAX) {
            self.names.pop();
        }
        self.names.push(name.clone());
        (self.names.len() - 1) as u16
    }

    /// Returns the name at `index`.
    pub fn get(&self, index: u16) -> &T {
        &self.names[usize::from(index)]
    }
}
