//! Reads the decision log of a node, for the commands that audit it.

use std::fs;
use std::io;
use std::path::Path;

use oakwind_fleet::audit::decision_record::{FileBreak, Journal, Record};
use oakwind_fleet::audit::hash_chain::{self, Chain, ChainBreak, ChainError};

use super::files::{log_files, END_FILE};

/// Reads what the folder of a node holds, with the places at which its chain is broken.
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
    // The records know the node's name; the folder may have another one.
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
    // A later build may know other records, which are skipped.
    let records = contents.records.iter().filter_map(|(_, line)| serde_json::from_str(line).ok());
    journal.records.extend(records);
    // A record that was being written when its process ended is no edit: the next one follows the record before it.
    let breaks = contents.breaks.into_iter().filter(|found| found.error != ChainError::Incomplete);
    let file = file_name(path);
    journal.breaks.extend(breaks.map(|chain_break| FileBreak { file: file.clone(), chain_break }));
    Ok(())
}

/// The number of the last record, as the end file says.
fn recorded_end(folder: &Path) -> Option<u64> {
    let text = fs::read_to_string(folder.join(END_FILE)).ok()?;
    text.split(' ').next()?.parse().ok()
}

fn file_name(path: &Path) -> String {
    path.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default()
}
