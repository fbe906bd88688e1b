//! Decoding of an exported file to text, and line numbers within it.

use crate::modules::sheet::fault::{SheetError, SheetFault};

/// Byte order mark that some spreadsheet programs write before UTF-8 text.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// Decodes the bytes of a sheet as UTF-8.
///
/// # Errors
/// [`SheetError`] with the line of the first byte that is not UTF-8.
pub fn decode_sheet(bytes: &[u8]) -> Result<&str, SheetError> {
    str::from_utf8(bytes).map_err(|e| {
        let position = e.valid_up_to();
        let byte = bytes.get(position).copied().unwrap_or_default();
        let value = format!("byte {byte:#04x}");
        let fault = SheetFault::new(line_at(bytes, position), "(line)", value, "UTF-8 text");
        SheetError {
            faults: vec![fault],
        }
    })
}

/// Removes a byte order mark from the start of a text.
pub(super) fn strip_byte_order_mark(text: &str) -> &str {
    text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text)
}

/// Line number, from 1, of the byte at a position.
fn line_at(bytes: &[u8], position: usize) -> u64 {
    let line_breaks = bytes[..position].iter().filter(|byte| **byte == b'\n');
    u64::try_from(line_breaks.count()).unwrap_or(u64::MAX) + 1
}

/// Maps record positions to line numbers; positions must not decrease from call to call.
///
/// The CSV reader reports the position before the empty lines that precede a record, so the finder
/// skips them.
#[derive(Debug)]
pub(super) struct LineFinder<'a> {
    bytes: &'a [u8],
    position: usize,
    line: u64,
}

impl<'a> LineFinder<'a> {
    pub(super) fn new(text: &'a str) -> Self {
        Self {
            bytes: text.as_bytes(),
            position: 0,
            line: 1,
        }
    }

    /// Line number of the record that the reader started at `byte`, from 1.
    pub(super) fn line_of(&mut self, byte: u64) -> u64 {
        let start = usize::try_from(byte).unwrap_or(usize::MAX);
        while let Some(byte) = self.bytes.get(self.position) {
            let is_line_break = matches!(byte, b'\n' | b'\r');
            if self.position >= start && !is_line_break {
                break;
            }
            self.line += u64::from(*byte == b'\n');
            self.position += 1;
        }
        self.line
    }
}
