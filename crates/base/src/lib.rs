//! Parts that the daemons share: settings, logging, numbered events, timeline and admin routes.

pub mod admin;
pub mod event;
pub mod intake;
pub mod logging;
pub mod settings;
pub mod start;
pub mod timeline;
pub mod view;

pub use event::Event;
pub use logging::Logging;
pub use timeline::{Timeline, TimelineEntry};
