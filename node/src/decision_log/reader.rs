//! Reader of a node's decision log, for the audit commands.

use std::fs;
use std::io;
use std::path::Path;

use oakwind_fleet::audit::decision_record::{FileBreak, Journal, Record};
use oakwind_fleet::audit::hash_chain::{self, Chain, ChainBreak, ChainError};

use super::files::{log_files, END_FILE};

/// Reads all records in the folder of a node, and every break in their hash chain.
///
/// # Errors
///
/// If the folder or a file in it cannot be read.
pub(crate) fn read_journal(folder: &Path) -> io::Result<Journal> {
    let files = log_files(folder)?;
    let oldest = files.first_key_value();
    let mut chain = oldest.map_or_else(Chain::default, |(first_record, _)| Chain::before(*first_record));
    let mut journal = Journal { node: file_name(folder), ..Journal::default() };
    for path in files.into_values() {
        read_file(&path, &mut chain, &mut journal)?;
    }
    if let Some(last) = recorded_end(folder).filter(|last| *last > chain.number()) {
        let chain_break = ChainBreak { line: 1, error: ChainError::Truncated { last } };
        journal.breaks.push(FileBreak { file: END_FILE.into(), chain_break });
    }
    // The name that the node recorded itself takes precedence over that of the folder, which may have been
    // renamed.
    let node = journal.records.iter().find_map(|record| match record {
        Record::ProcessStarted { node, .. } => Some(node.clone()),
        _ => None,
    });
    if let Some(node) = node {
        journal.node = node;
    }
    Ok(journal)
}

fn read_file(path: &Path, chain: &mut Chain, journal: &mut Journal) -> io::Result<()> {
    let text = String::from_utf8_lossy(&fs::read(path)?).into_owned();
    let contents = hash_chain::read(&text, chain);
    // Records that this build cannot parse are skipped: a later build may have written other kinds.
    let records = contents.records.iter().filter_map(|(_, line)| serde_json::from_str(line).ok());
    journal.records.extend(records);
    // An incomplete record is not reported: it is left by a process that was killed during a write, and the
    // record behind it continues the chain from the one before it.
    let breaks = contents.breaks.into_iter().filter(|found| found.error != ChainError::Incomplete);
    let file = file_name(path);
    journal.breaks.extend(breaks.map(|chain_break| FileBreak { file: file.clone(), chain_break }));
    Ok(())
}

/// Number of the last record according to the end file; none if that file is absent or cannot be parsed.
fn recorded_end(folder: &Path) -> Option<u64> {
    let text = fs::read_to_string(folder.join(END_FILE)).ok()?;
    text.split(' ').next()?.parse().ok()
}

fn file_name(path: &Path) -> String {
    path.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default()
}
