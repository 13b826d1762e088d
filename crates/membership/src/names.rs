//! Interned names, so that a row holds two bytes in place of a `String`.

/// Names that are held once and referred to by index. Names are never removed: the fleet has a few
/// hundred of them.
#[derive(Clone, Debug)]
pub struct Names<T> {
    names: Vec<T>,
}

impl<T: PartialEq + Clone> Names<T> {
    /// Returns an empty table.
    pub fn new() -> Self {
        Self { names: Vec::new() }
    }

    /// Returns the index of `name`, adding it when it is new. When the table is full, the last entry
    /// is taken over by the new name, so that a flood of names can't grow memory.
    pub fn intern(&mut self, name: &T) -> u16 {
        if let Some(index) = self.names.iter().position(|known| known == name) {
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
