//! Finds the line of a field in a YAML text, and collects what is wrong in it.

use std::fmt;

use marked_yaml::Node;

/// Line numbers of one YAML text.
#[derive(Debug)]
pub struct LineIndex {
    root: Option<Node>,
}

impl LineIndex {
    /// Reads the text; a text that is no YAML has no lines to offer.
    ///
    /// # Examples
    ///
    /// ```
    /// let lines = fleet::LineIndex::parse("a: 1\nb:\n  - c: 2\n");
    /// assert_eq!(lines.line_of("b[0].c"), Some(3));
    /// ```
    pub fn parse(text: &str) -> Self {
        Self { root: marked_yaml::parse_yaml(0, text).ok() }
    }

    /// Gives the line, from 1, of a path such as `services[1].down`.
    ///
    /// The line of the nearest parent is given for a field that is not there.
    ///
    /// # Examples
    ///
    /// ```
    /// let lines = fleet::LineIndex::parse("a: 1\nb:\n  - c: 2\n");
    /// assert_eq!(lines.line_of("b[0].missing"), Some(3));
    /// ```
    pub fn line_of(&self, path: &str) -> Option<usize> {
        let mut node = self.root.as_ref()?;
        for step in path.split(['.', '[']) {
            let next = match step.strip_suffix(']') {
                Some(index) => index.parse().ok().and_then(|at: usize| node.as_sequence()?.get(at)),
                None => node.as_mapping().and_then(|map| map.get_node(step)),
            };
            match next {
                Some(found) => node = found,
                None => break,
            }
        }
        node.span().start().map(marked_yaml::Marker::line)
    }
}

/// One thing that is wrong in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Name of the file.
    pub file: String,
    /// Line, from 1, where it is known.
    pub line: Option<usize>,
    /// Path of the field.
    pub field: String,
    /// What is wrong, and the allowed range.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "{}:{line}: {}: {}", self.file, self.field, self.message),
            None => write!(f, "{}: {}: {}", self.file, self.field, self.message),
        }
    }
}

/// All problems of one file, in the order they were found.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, problem) in self.0.iter().enumerate() {
            if at > 0 {
                writeln!(f)?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}

/// Collects the problems of one file.
#[derive(Debug)]
pub struct Validator<'a> {
    file: &'a str,
    lines: LineIndex,
    found: Vec<Problem>,
}

impl<'a> Validator<'a> {
    /// Begins to check a text.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut validator = fleet::lines::Validator::new("a.yaml", "down: 0\n");
    /// validator.check_range("down", 0, 1, 9);
    /// let problems = validator.finish().unwrap_err();
    /// assert_eq!(problems.to_string(), "a.yaml:1: down: is 0, allowed is 1 to 9");
    /// ```
    pub fn new(file: &'a str, text: &str) -> Self {
        Self { file, lines: LineIndex::parse(text), found: Vec::new() }
    }

    /// Records a problem of the field at a path.
    pub fn report(&mut self, path: &str, message: impl Into<String>) {
        let (line, field) = (self.lines.line_of(path), path.to_owned());
        self.found.push(Problem {
            file: self.file.to_owned(),
            line,
            field,
            message: message.into(),
        });
    }

    /// Records a number that is out of its range, bounds included.
    pub fn check_range(&mut self, path: &str, value: u64, low: u64, high: u64) {
        if value < low || value > high {
            self.report(path, format!("is {value}, allowed is {low} to {high}"));
        }
    }

    /// Ends the check.
    ///
    /// # Errors
    ///
    /// All problems that were recorded, when there are any.
    pub fn finish(self) -> Result<(), Problems> {
        if self.found.is_empty() { Ok(()) } else { Err(Problems(self.found)) }
    }
}

/// Turns a parser's error into a problem of the file.
pub fn syntax_problem(file: &str, error: &serde_norway::Error) -> Problems {
    let line = error.location().map(|at| at.line());
    let message = error.to_string();
    Problems(vec![Problem { file: file.to_owned(), line, field: "(file)".to_owned(), message }])
}
