//! From the bytes of an exported file to its text.

use crate::modules::sheet::fault::{SheetError, SheetFault};

/// Mark that some spreadsheet programs put before UTF-8 text.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// Reads the bytes of a sheet as UTF-8.
///
/// # Errors
/// [`SheetError`] with the line of the first byte that is no UTF-8.
pub fn decode_sheet(bytes: &[u8]) -> Result<&str, SheetError> {
    str::from_utf8(bytes).map_err(|e| {
        let at = e.valid_up_to();
        let byte = bytes.get(at).copied().unwrap_or_default();
        let value = format!("byte {byte:#04x}");
        let fault = SheetFault::new(line_at(bytes, at), "(line)", value, "UTF-8 text");
        SheetError {
            faults: vec![fault],
        }
    })
}

/// The text without a byte order mark.
pub(super) fn strip_byte_order_mark(text: &str) -> &str {
    text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text)
}

/// Line of a byte, from 1.
fn line_at(bytes: &[u8], end: usize) -> u64 {
    let breaks = bytes[..end].iter().filter(|byte| **byte == b'\n');
    u64::try_from(breaks.count()).unwrap_or(u64::MAX) + 1
}

/// Finds the lines of records, whose positions only grow.
///
/// The reader counts empty lines before a record to its position.
#[derive(Debug)]
pub(super) struct LineFinder<'a> {
    bytes: &'a [u8],
    at: usize,
    line: u64,
}

impl<'a> LineFinder<'a> {
    pub(super) fn new(text: &'a str) -> Self {
        Self {
            bytes: text.as_bytes(),
            at: 0,
            line: 1,
        }
    }

    /// Line of the record that was read from `byte` on.
    pub(super) fn line_of(&mut self, byte: u64) -> u64 {
        let start = usize::try_from(byte).unwrap_or(usize::MAX);
        while let Some(byte) = self.bytes.get(self.at) {
            let is_line_break = matches!(byte, b'\n' | b'\r');
            if self.at >= start && !is_line_break {
                break;
            }
            self.line += u64::from(*byte == b'\n');
            self.at += 1;
        }
        self.line
    }
}
