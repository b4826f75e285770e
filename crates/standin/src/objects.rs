//! Object store of the platform stand-in.

use std::collections::BTreeMap;

/// Text objects by name.
#[derive(Debug, Default)]
pub struct Objects(pub BTreeMap<String, String>);

impl Objects {
    /// Returns the names that start with a prefix, in order.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut objects = standin::objects::Objects::default();
    /// objects.0.insert("a/1".into(), "x".into());
    /// assert_eq!(objects.names("a/"), ["a/1"]);
    /// ```
    pub fn names(&self, prefix: &str) -> Vec<String> {
        self.0.keys().filter(|name| name.starts_with(prefix)).cloned().collect()
    }
}
