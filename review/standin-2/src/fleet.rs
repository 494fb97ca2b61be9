//! Nodes that replicate keys (`--fleet`), with the keys of `deploy/fleet.toml`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::bench::Process;
use crate::client::{Answer, Connection, Try};
use crate::free_address;
use crate::node::Node;
use crate::record::Record;
use crate::{sleep_ms, unix_ms};

/// The longest time that a key is retained: a second more than the longest deadline of the settings.
pub const WINDOW_MS: u64 = 6700;

/// A node of the fleet: its process, and where its peers reach it.
pub struct Member {
    pub name: String,
    pub process: Process,
    pub peer_address: SocketAddr,
    pub node: Option<Node>,
}

/// Creates members with these names, one zone each. Nothing is started.
pub fn members(names: &[&str], folder: &Path, record: &Record) -> Vec<Member> {
    let member = |name: &&str| {
        let mut process = Process::new(name, folder, record);
        process.config.name = (*name).to_string();
        process.config.window_ms = 3000;
        Member { name: (*name).to_string(), process, peer_address: free_address(), node: None }
    };
    names.iter().map(member).collect()
}

/// Writes the fleet file of one member. `address_of` gives the address by which it reaches another one.
pub fn write_file(
    member: &Member,
    members: &[Member],
    address_of: impl Fn(&Member) -> SocketAddr,
    folder: &Path,
) -> PathBuf {
    let mut text = format!(
        "name = \"{}\"\nlisten = \"{}\"\nmemory_mb = 64\nprobe_ms = 500\n[list]\nnumber = 1\ncopies = 3\nwindow_ms = {WINDOW_MS}\n",
        member.name, member.peer_address
    );
    for other in members {
        let address = if other.name == member.name { other.peer_address } else { address_of(other) };
        text += &format!(
            "[[list.member]]\nname = \"{0}\"\naddress = \"{address}\"\nzone = \"zone-{0}\"\n",
            other.name
        );
    }
    let path = folder.join(format!("{}-fleet.toml", member.name));
    std::fs::write(&path, text).expect("the fleet file can be written");
    path
}

/// Starts a member with its fleet file.
pub fn start(member: &mut Member, file: &Path, record: &Record) -> Result<(), String> {
    let options = format!("--fleet {}", file.display());
    member.node = Some(member.process.start(&member.name, &options, record)?);
    Ok(())
}

/// A `book` with a key.
pub fn book(key: &str, run_ms: u64, limit_ms: u64) -> Try {
    Try { class: "book", limit_ms, key: Some(key.into()), body: format!("{key} run={run_ms}") }
}

/// Waits until every member books: a fleet that starts for the first time runs no booking for a window and 8 s.
pub fn wait_until_booking(members: &mut [Member], record: &Record) -> Result<(), String> {
    let end = unix_ms() + WINDOW_MS + 20_000;
    for member in members {
        if let Some(node) = &mut member.node {
            node.wait_ready(20_000)?;
        }
        let mut number = 0;
        loop {
            number += 1;
            let key = format!("warm-{}-{number}", member.name);
            let mut connection = Connection::open(member.process.listen(), "warm-up", record)?;
            let id = connection.send(&book(&key, 1, 2000)).ok_or("not sent")?;
            if matches!(connection.wait_answer(id, 2500), Some(Answer::Served(_))) {
                break;
            }
            if unix_ms() > end {
                return Err(format!("{} does not book", member.name));
            }
            sleep_ms(300);
        }
    }
    Ok(())
}
