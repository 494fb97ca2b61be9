//! What two processes of one node share in an upgrade in place.

use std::path::PathBuf;

use tokio::net::TcpSocket;

use super::{config, file, packet, unique_host, Node, Peer, Server, StoreFolder, LONG_LIMIT_MS};

/// The interpreter's answer to a new link, with which it is ready.
pub(crate) const BANNER: &str = "BANNER fresh 0\r\n";

/// The addresses and the folder of a node that several processes serve one after the other.
pub(crate) struct UpgradeFixture {
    /// The JSON-RPC frontend's address.
    pub json: String,
    pub uwsgi: String,
    /// The processes' `TMPDIR`.
    pub folder: PathBuf,
    /// The text of their result store file, if they have one.
    remembered: Option<String>,
    _reserved: [TcpSocket; 2],
}

impl UpgradeFixture {
    pub(crate) fn new() -> UpgradeFixture {
        // The sockets stay bound with SO_REUSEPORT, without listening, for as long as the test lasts: no
        // other test gets the ports, and a copy that another test's child process inherits briefly does not
        // keep the node from listening.
        let host = unique_host();
        let reserved = [(); 2].map(|()| {
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_reuseport(true).unwrap();
            socket.bind((host, 0).into()).unwrap();
            socket
        });
        let [json, uwsgi] = reserved.each_ref().map(|socket| socket.local_addr().unwrap().to_string());
        let folder = file("folder", "").with_extension("d");
        std::fs::create_dir(&folder).unwrap();
        UpgradeFixture { json, uwsgi, folder, remembered: None, _reserved: reserved }
    }

    /// A node with this result store.
    pub(crate) fn with_store(store: &StoreFolder) -> UpgradeFixture {
        UpgradeFixture { remembered: Some(store.text.clone()), ..UpgradeFixture::new() }
    }

    /// Starts one more process of the node, with an interpreter of its own whose link is up.
    pub(crate) fn start(&self) -> (Node, Peer) {
        let (node, link, _) = self.start_with_config();
        (node, link)
    }

    /// Like [`UpgradeFixture::start`], and returns the text of the configuration as well.
    pub(crate) fn start_with_config(&self) -> (Node, Peer, String) {
        self.start_with(|config| config)
    }

    /// Like [`UpgradeFixture::start_with_config`], with a changed configuration.
    pub(crate) fn start_with(&self, change: impl Fn(String) -> String) -> (Node, Peer, String) {
        let vm = Server::new();
        let config = change(self.config(&vm));
        let mut node = self.spawn(&config);
        let link = vm.interpreter("0");
        node.wait_until_listening();
        node.uwsgi_address();
        (node, link, config)
    }

    /// Starts one more process of the node, whose interpreter has accepted its link and does not answer. The node
    /// can serve once the interpreter sends [`BANNER`] over the returned link.
    pub(crate) fn start_with_silent_interpreter(&self) -> (Node, Peer) {
        let vm = Server::new();
        let node = self.spawn(&self.config(&vm));
        let mut link = vm.accept();
        link.read_line();
        (node, link)
    }

    fn config(&self, vm: &Server) -> String {
        config(&format!(r#""vm": "{}","#, vm.address)).replace("127.0.0.1:0", &self.json)
    }

    fn spawn(&self, config: &str) -> Node {
        let uwsgi = format!("listen = '{}'\n", self.uwsgi);
        Node::spawn_with(config, Some(&uwsgi), Some(&self.folder), self.remembered.as_deref())
    }

    /// Has a process serve the key `ended` with the result `first`, on a connection that is closed again. Returns the
    /// response, whose id is 1.
    pub(crate) fn serve_ended_key(node: &Node, vm: &mut Peer) -> String {
        let mut client = node.client();
        client.request(1, "a1", Some("ended"), LONG_LIMIT_MS);
        vm.next_run();
        vm.send_run_result(1, "a1", "done", "first");
        client.read_line()
    }

    /// Sends a request with this idempotency key as a uwsgi client.
    pub(crate) fn uwsgi_request(&self, key: &str) -> Peer {
        let mut client = Peer::connect(self.uwsgi.parse().unwrap());
        client.send(packet(&[("PATH_INFO", "/book"), ("HTTP_IDEMPOTENCY_KEY", key)], "body"));
        client
    }
}
