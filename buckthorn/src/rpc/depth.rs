//! Nesting limit of JSON texts, checked before they are parsed.

/// Maximum nesting depth of a control message.
pub const MAX_DEPTH: usize = 32;

/// Returns whether the nesting depth of a JSON text is at most `limit`.
///
/// Brackets inside strings do not count. The text need not be valid JSON.
pub fn is_within(text: &str, limit: usize) -> bool {
    let mut depth = 0_usize;
    let mut is_string = false;
    let mut is_escaped = false;
    for byte in text.bytes() {
        if is_string {
            match byte {
                _ if is_escaped => is_escaped = false,
                b'\\' => is_escaped = true,
                b'"' => is_string = false,
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => is_string = true,
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > limit {
            return false;
        }
    }
    true
}
