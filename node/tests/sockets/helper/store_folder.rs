//! The folder of a result store that several processes open one after the other.

use std::path::{Path, PathBuf};

use super::{config, file, Node, Peer, Server, UWSGI};

/// The folder of a result store for one test, and the result store file that names it.
pub(crate) struct StoreFolder {
    pub folder: PathBuf,
    /// The text of the result store file.
    pub text: String,
}

impl StoreFolder {
    pub(crate) fn new(options: &str) -> StoreFolder {
        let folder = file("result-store", "").with_extension("d");
        std::fs::create_dir(&folder).unwrap();
        let text = format!("folder = '{}'\n{options}", folder.display());
        StoreFolder { folder, text }
    }

    /// Starts a process of the node with a stand-in interpreter whose link is up.
    pub(crate) fn start(&self) -> (Node, Peer) {
        let vm = Server::new();
        let node = self.spawn(&vm, None);
        (node, vm.interpreter("0"))
    }

    pub(crate) fn spawn(&self, vm: &Server, folder: Option<&Path>) -> Node {
        let config = config(&format!(r#""ops": "127.0.0.1:0", "vm": "{}","#, vm.address));
        let mut node = Node::spawn_with(&config, Some(UWSGI), folder, Some(&self.text));
        node.wait_until_listening();
        node
    }
}
