//! The configuration of a node, as the platform writes it.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// What a case sets in the configuration; the rest is the same in all of them.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub vm: SocketAddr,
    pub ops: SocketAddr,
    pub members: SocketAddr,
    pub stop_ms: u64,
    /// Deadline of `quote` and of `book`, in milliseconds.
    pub deadlines_ms: [u64; 2],
    /// The time in which a `book` may come again, in milliseconds.
    pub window_ms: u64,
}

impl Config {
    /// The file's text: the keys of the deployment page and the settings of the wire's page, with two classes.
    pub fn text(&self) -> String {
        let Config { name, listen, vm, ops, members, stop_ms, .. } = self;
        let [quote, book] = self.deadlines_ms.map(|ms| ms * 1000);
        let window = self.window_ms * 1000;
        format!(
            r#"{{"name":"{name}","listen":"{listen}","vm":"{vm}","members":"{members}","ops":"{ops}",
"seed":"8c1f30d27a5be964","stop_ms":{stop_ms},"limits":{{"cores":1.0,"memory_mb":192,"sockets":512}},
"settings":{{"clients":{{"marksRetry":false}},"countedBy":"work","family":"server",
"limits":{{"cpuUsPerRequest":0.0,"cpuUsPerS":60209,"maxRetryAfter":1000000,"retryAfter":true}},
"localities":["ba-ruzinov"],"overShareWorth":0.1,"position":0,
"report":{{"columns":["rps"],"via":"inline"}},
"safety":{{"answerSlack":100000,"coldShare":0.22,"drainGrace":2000000,"fallMultiple":8.0,"overloadFor":2000000,"warmAfter":17000000}},
"servers":12,
"services":[{{"deadline":{quote},"effect":"repeatable","lateWorth":0.2,"name":"quote","slo":1400000,"window":5000000,"worth":1.0}},
{{"deadline":{book},"effect":"by_key","lateWorth":0.2,"name":"book","slo":2300000,"window":{window},"worth":2.0}}],
"specifics":{{"callers":3,"callsOut":0.0,"classCalls":[false,false],"classSkipWorth":[0.0,0.0],"cores":6,"dependsOn":"off","entryKb":28.8,"fresh":0,"fullChecks":false,"gauges":["cpu_busy","runnable","mem_used","sockets"],"idle":30000000,"justStarted":false,"listFollows":false,"memoryKb":23946.0,"passesDeadline":true,"preemption":"pause","runFactor":8.0,"saidFor":1000000,"shareSpan":5000000,"signal":"off","staysFor":200000,"tellsGone":true}},
"stages":["dispatch-api"],
"tenants":[{{"fraction":0.5,"name":"rychla-kolesa","quotaPerS":460.0}},{{"fraction":0.5,"name":"mestsky-kurier","quotaPerS":460.0}}],
"tick":4000,"tier":0,"zone":0}}}}
"#
        )
    }

    /// Writes the file into a folder and returns its path.
    pub fn write(&self, folder: &Path, file: &str) -> PathBuf {
        let path = folder.join(file);
        std::fs::write(&path, self.text()).expect("the configuration can be written");
        path
    }
}

/// Length of the longest path in which a case's folder is created.
const MAX_BASE_BYTES: usize = 30;

/// A folder below the system's temporary folder, which is removed when this is dropped.
pub struct CaseFolder(PathBuf);

impl CaseFolder {
    /// Creates the folder of one case.
    pub fn create(case: &str) -> CaseFolder {
        let mut base = std::env::temp_dir();
        // A node binds a Unix socket in its folder, whose path must be short. Nodes start from the root, as this does.
        if base.as_os_str().len() > MAX_BASE_BYTES {
            base = PathBuf::from("target");
        }
        let folder = base.join(format!("review-{case}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        CaseFolder(folder)
    }

    /// The folder's path.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for CaseFolder {
    fn drop(&mut self) {
        // Nothing depends on the removal.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
