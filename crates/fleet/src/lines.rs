//! Validation of YAML files, with the line number of each problem.

use std::fmt;

use marked_yaml::Node;

/// Index of the line numbers of a YAML text.
#[derive(Debug)]
pub struct LineIndex {
    root: Option<Node>,
}

impl LineIndex {
    /// Parses the text; the index is empty if the text is not valid YAML.
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

    /// Returns the line, from 1, of a field path such as `services[1].down`.
    ///
    /// For a missing field, this is the line of the nearest parent.
    ///
    /// # Examples
    ///
    /// ```
    /// let lines = fleet::LineIndex::parse("a: 1\nb:\n  - c: 2\n");
    /// assert_eq!(lines.line_of("b[0].missing"), Some(3));
    /// ```
    pub fn line_of(&self, path: &str) -> Option<usize> {
        let mut node = self.root.as_ref()?;
        for segment in path.split(['.', '[']) {
            let child = match segment.strip_suffix(']') {
                Some(index) => index.parse().ok().and_then(|at: usize| node.as_sequence()?.get(at)),
                None => node.as_mapping().and_then(|map| map.get_node(segment)),
            };
            match child {
                Some(child) => node = child,
                None => break,
            }
        }
        node.span().start().map(marked_yaml::Marker::line)
    }
}

/// Problem in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Name of the file.
    pub file: String,
    /// Line, from 1, if known.
    pub line: Option<usize>,
    /// Path of the field, or `(file)` for the file as a whole.
    pub field: String,
    /// Description of the problem, with the allowed range.
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

/// All problems of one file, in the order of their detection.
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
    problems: Vec<Problem>,
}

impl<'a> Validator<'a> {
    /// Creates a validator for the text of a file.
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
        Self { file, lines: LineIndex::parse(text), problems: Vec::new() }
    }

    /// Reports a problem with the field at a path.
    pub fn report(&mut self, path: &str, message: impl Into<String>) {
        let (line, field) = (self.lines.line_of(path), path.to_owned());
        self.problems.push(Problem {
            file: self.file.to_owned(),
            line,
            field,
            message: message.into(),
        });
    }

    /// Reports a value outside of an inclusive range.
    pub fn check_range(&mut self, path: &str, value: u64, min: u64, max: u64) {
        if value < min || value > max {
            self.report(path, format!("is {value}, allowed is {min} to {max}"));
        }
    }

    /// Finishes the validation.
    ///
    /// # Errors
    ///
    /// Returns all reported problems, if there are any.
    pub fn finish(self) -> Result<(), Problems> {
        if self.problems.is_empty() { Ok(()) } else { Err(Problems(self.problems)) }
    }
}

/// Converts a parser error to a problem of the whole file.
pub fn syntax_problem(file: &str, error: &serde_norway::Error) -> Problems {
    let line = error.location().map(|at| at.line());
    let message = error.to_string();
    Problems(vec![Problem { file: file.to_owned(), line, field: "(file)".to_owned(), message }])
}
