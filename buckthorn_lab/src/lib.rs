//! Stand-ins, load and experiments for buckthornworks.
