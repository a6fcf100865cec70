//! Processes of the program, started as the deploy file says, with the templates of the deploy file filled in.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use crate::http1::Conn;
use crate::http1::message;

/// `run` of both roles in `deploy/system.toml`.
pub const PROGRAM: &str = "target/release/snipeway-platform";

/// A process of the program; it is killed when it is dropped.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

/// What all processes of a deployment share.
pub struct Deployment {
    /// The root of the repository.
    pub root: PathBuf,
    /// A temporary folder for settings and logs.
    pub dir: PathBuf,
    pub store: SocketAddr,
}

/// Returns an address of this process alone: the processes of one case differ by `number`.
pub fn own_ip(number: u8) -> IpAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + number % 128, high, low.max(1)).into()
}

/// Returns a free port of an address.
pub fn free(ip: IpAddr) -> SocketAddr {
    let listener = std::net::TcpListener::bind((ip, 0)).expect("a loopback address can be bound");
    listener
        .local_addr()
        .expect("a bound socket has an address")
}

/// Removes the tags of a section of a template, and its content as well unless it is kept.
fn section(text: &str, field: &str, is_kept: bool) -> String {
    let (open, close) = (format!("{{{{#{field}}}}}"), format!("{{{{/{field}}}}}"));
    let Some((before, rest)) = text.split_once(&open) else {
        return text.to_owned();
    };
    let (content, after) = rest.split_once(&close).expect("the section ends");
    let content = if is_kept { content } else { "" };
    section(&format!("{before}{content}{after}"), field, is_kept)
}

impl Deployment {
    /// Fills in the template of a role with the values of the sheet of Rabattwerk.
    fn settings(
        &self,
        role: &str,
        name: &str,
        zone: &str,
        ip: IpAddr,
        front: SocketAddr,
        ready: SocketAddr,
        peer: u16,
    ) -> String {
        let path = self.root.join(format!("deploy/{role}.ini"));
        let mut text = std::fs::read_to_string(path).expect("the template can be read");
        text = section(&text, "Bounds.RevokeMs", false);
        text = section(&text, "Cloud.Address", false);
        text = section(&text, "Bounds.CancelMs", true);
        let cores = if role == "entry" { "0.25" } else { "0.5" };
        for (field, value) in [
            ("NodeName", name),
            ("Zone", zone),
            ("Ip", &ip.to_string()),
            ("Listen.Front", &front.to_string()),
            ("Listen.Ready", &ready.to_string()),
            ("InternalPorts.0", &peer.to_string()),
            ("Limits.CpuShare", cores),
            ("Platform.Address", &self.store.to_string()),
            ("Platform.TtlMinMs", "1000"),
            ("Bounds.GraceS", "8"),
            ("Bounds.LeaseMs", "3000"),
            ("Bounds.StatusS", "120"),
            ("Bounds.CancelMs", "3000"),
            ("Bounds.ConfigApplyMs", "2000"),
        ] {
            text = text.replace(&format!("{{{{{field}}}}}"), value);
        }
        assert!(
            !text.contains("{{"),
            "a field of the template is not filled in: {text}"
        );
        text
    }

    /// Starts a process with the role `entry` or `control`.
    pub fn start(&self, role: &str, name: &str, zone: &str, number: u8) -> Node {
        let ip = own_ip(number);
        let [front, ready, peer] = [free(ip), free(ip), free(ip)];
        let text = self.settings(role, name, zone, ip, front, ready, peer.port());
        let file = self.dir.join(format!("{name}.ini"));
        std::fs::write(&file, text).expect("the settings can be written");
        let child = self.spawn(name);
        let name = name.to_owned();
        Node {
            name,
            front,
            ready,
            child,
        }
    }

    /// Starts a process that has ended again, with the same settings.
    pub fn restart(&self, node: &mut Node) {
        node.kill();
        node.child = self.spawn(&node.name);
    }

    fn spawn(&self, name: &str) -> Child {
        let file = self.dir.join(format!("{name}.ini"));
        let log = self.dir.join(format!("{name}.log"));
        let log = std::fs::File::options().create(true).append(true).open(log);
        Command::new(self.root.join(PROGRAM))
            .current_dir(&self.root)
            .env("SNIPEWAY_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.expect("the log can be written")))
            .spawn()
            .expect("the program can be started")
    }

    /// The log lines of a process that hold all of `texts`.
    pub fn log_lines(&self, name: &str, texts: &[&str]) -> Vec<String> {
        let log = std::fs::read_to_string(self.dir.join(format!("{name}.log"))).unwrap_or_default();
        let lines = log
            .lines()
            .filter(|line| texts.iter().all(|text| line.contains(text)));
        lines.map(str::to_owned).collect()
    }
}

impl Node {
    /// Waits up to 8 s until the process says that it is ready.
    pub async fn wait_ready(&self) -> bool {
        for _ in 0..160 {
            if self.is_ready().await == Some(true) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    async fn is_ready(&self) -> Option<bool> {
        let stream = tokio::net::TcpStream::connect(self.ready).await.ok()?;
        let mut conn = Conn::new(stream);
        let request = message("GET /-/readyz HTTP/1.1", &[("Host", "ready")], b"");
        conn.write(&request).await.ok()?;
        Some(conn.head().await.ok()?.status() == 200)
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by its name, as `STOP` or `CONT`.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill")
            .args(["-s", signal, &self.pid().to_string()])
            .status();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the root of the repository from the folder of a case.
pub fn root_of(case: &Path) -> PathBuf {
    let root = case.join("../..");
    root.canonicalize().unwrap_or(root)
}
