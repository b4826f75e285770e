//! Ids of the incarnations of executors.
//!
//! An executor may start again under the name that it had. What it then holds and knows has nothing
//! to do with what it held before, so that the id of an incarnation consists of the executor's name
//! and the time of its start: `NAME~START`. An executor that does not tell its start has one
//! incarnation, whose id is its name.
//!
//! Load pattern: the ids are compared for each executor of a pool whenever one of them restarts, so
//! nothing here allocates but [`id`].

/// Separates the name from the time of the start.
const SEPARATOR: char = '~';

/// Id of the incarnation of an executor that started at `start`, in milliseconds since 1970; `None`
/// if that is not known.
///
/// # Examples
///
/// ```
/// use jobs::incarnation;
/// assert_eq!(incarnation::id("i-1", Some(1_700)), "i-1~1700");
/// assert_eq!(incarnation::id("i-1", None), "i-1");
/// // A name that looks like an id is kept apart from that id.
/// assert_eq!(incarnation::name(&incarnation::id("i~1", None)), "i~1");
/// assert_eq!(incarnation::start(&incarnation::id("i~1", None)), None);
/// ```
pub fn id(name: &str, start: Option<u64>) -> String {
    match start {
        Some(start) => format!("{name}{SEPARATOR}{start}"),
        None if split(name) != (name, None) => format!("{name}{SEPARATOR}"),
        None => name.to_owned(),
    }
}

/// Name of the executor that an incarnation belongs to.
///
/// # Examples
///
/// ```
/// assert_eq!(jobs::incarnation::name("i-1~1700"), "i-1");
/// assert_eq!(jobs::incarnation::name("i-1"), "i-1");
/// ```
pub fn name(id: &str) -> &str {
    split(id).0
}

/// Time at which an incarnation started, in milliseconds since 1970; `None` if it is not known.
///
/// # Examples
///
/// ```
/// assert_eq!(jobs::incarnation::start("i-1~1700"), Some(1_700));
/// assert_eq!(jobs::incarnation::start("i-1"), None);
/// ```
pub fn start(id: &str) -> Option<u64> {
    split(id).1
}

/// Whether `later` is an incarnation of the same executor that started after `id`.
///
/// An incarnation whose start is not known counts as the earlier one.
///
/// # Examples
///
/// ```
/// use jobs::incarnation::is_replaced_by;
/// assert!(is_replaced_by("i-1~1700", "i-1~1800"));
/// assert!(is_replaced_by("i-1", "i-1~1800"));
/// assert!(!is_replaced_by("i-1~1700", "i-1~1700"));
/// assert!(!is_replaced_by("i-1~1700", "i-2~1800"));
/// ```
pub fn is_replaced_by(id: &str, later: &str) -> bool {
    let ((name, start), (later_name, later_start)) = (split(id), split(later));
    name == later_name && start < later_start
}

/// Splits an id into name and start.
fn split(id: &str) -> (&str, Option<u64>) {
    let Some((name, suffix)) = id.rsplit_once(SEPARATOR) else { return (id, None) };
    if suffix.is_empty() {
        return (name, None);
    }
    // A number is taken for a start only in the form in which `id` writes it.
    let is_plain = suffix.bytes().all(|byte| byte.is_ascii_digit())
        && (suffix.len() == 1 || !suffix.starts_with('0'));
    match suffix.parse::<u64>() {
        Ok(start) if is_plain => (name, Some(start)),
        _ => (id, None),
    }
}
