//! The planners' CSV sheet.
