//! The program's processes, started with the command and the settings of the deploy file.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use serde_json::Value;
use serde_json::json;

/// The program of the deploy file, relative to the repository.
const PROGRAM: &str = "target/release/snipeway-platform";

/// A loopback address of this run: derived from the process ID, so that two runs do not share one.
pub fn own_ip(number: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 70 + number, high, low.max(1))
}

/// A process of the program.
pub struct Process {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
    file: PathBuf,
}

impl Process {
    /// Starts a role of the deploy file (`entry` or `control`) at its own address.
    pub fn start(root: &Path, folder: &Path, role: &str, number: u8, store: SocketAddr) -> Self {
        let ip = own_ip(number);
        let fields = json!({
            "NodeName": format!("{role}-{number}"), "Zone": "nord", "Ip": ip.to_string(),
            "InternalPorts": [7720, 7735],
            "Listen": {"Front": format!("{ip}:8161"), "Ready": format!("{ip}:8167")},
            "Limits": {"CpuShare": if role == "entry" { 0.25 } else { 0.5 }},
            "Platform": {"Address": store.to_string(), "TtlMinMs": 1000},
            "Bounds": {"GraceS": 8, "LeaseMs": 3000, "StatusS": 120, "CancelMs": 3000, "ConfigApplyMs": 2000},
        });
        let template = std::fs::read_to_string(root.join(format!("deploy/{role}.ini"))).unwrap();
        let file = folder.join(format!("{role}-{number}.ini"));
        std::fs::write(&file, render(&template, &fields)).unwrap();
        let log = File::create(folder.join(format!("{role}-{number}.log"))).unwrap();
        let child = Command::new(root.join(PROGRAM))
            .current_dir(root)
            .env("SNIPEWAY_NODE_FILE", &file)
            .stdout(Stdio::from(log))
            .stderr(Stdio::inherit())
            .spawn()
            .expect("could not start the program");
        Self {
            front: (ip, 8161).into(),
            ready: (ip, 8167).into(),
            child,
            file,
        }
    }

    /// The text of its log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.file.with_extension("log")).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn lookup<'a>(fields: &'a Value, name: &str) -> Option<&'a Value> {
    let parts = name.split('.');
    let found = parts.fold(Some(fields), |value, part| match part.parse::<usize>() {
        Ok(index) => value?.get(index),
        Err(_) => value?.get(part),
    });
    found.filter(|value| !value.is_null())
}

/// Fills in a template as the platform does, without nested sections.
fn render(template: &str, fields: &Value) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let end = start + text[start..].find("}}").unwrap();
        let name = text[start + 3..end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let stop = text.find(&close).unwrap();
        let inner = match lookup(fields, &name) {
            Some(_) => text[end + 2..stop].to_owned(),
            None => String::new(),
        };
        text.replace_range(start..stop + close.len(), &inner);
    }
    while let Some(start) = text.find("{{") {
        let end = start + text[start..].find("}}").unwrap();
        let value = match lookup(fields, &text[start + 2..end]) {
            Some(Value::String(value)) => value.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        };
        text.replace_range(start..end + 2, &value);
    }
    text
}
