//! A cache of weight versions on an instance that has a disk.
//!
//! The weight store is rate-limited, and all engines of a failure domain request a new version at the
//! same time. An instance with a disk downloads each version once and serves it to the engines of its
//! failure domain. The cache may be lost at any time; missing versions are downloaded again.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http_body_util::BodyExt;
use http_body_util::Full;
use kernel::Map;
use kernel::Name;
use net::Call;
use net::Reply;
use net::body;
use parking_lot::Mutex;
use tokio::fs;
use tokio::fs::File;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use crate::App;

/// Timeout for the start of the store's response and for each frame of its body.
const STORE_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes per read from the disk.
const CHUNK_BYTES: usize = 256 << 10;

/// Number of versions kept per model: the newest one, and the previous one for engines that have not
/// swapped yet.
const KEPT_VERSIONS: usize = 2;

/// A weight version could not be served.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum CacheError {
    /// Reading or writing the cache's folder failed.
    #[error("could not use the cache's folder")]
    Disk(#[from] io::Error),
    /// The store could not be reached, or its response was interrupted.
    #[error("could not fetch from the store")]
    Store(#[from] net::SendError),
    /// The store answered with a status other than 200.
    #[error("the store answered with status {0}")]
    Status(StatusCode),
    /// The settings name no store, or its URL is invalid.
    #[error("the settings give no store")]
    NoStore,
}

/// Held while a version is looked up or downloaded.
type DownloadLock = Arc<tokio::sync::Mutex<()>>;

/// A cache of weight versions in a folder.
#[derive(Debug)]
pub struct WeightCache {
    folder: PathBuf,
    store: String,
    http: net::Client,
    /// A lock for each model and version, so that concurrent requests cause a single download.
    downloads: Mutex<Map<(Name, u64), DownloadLock>>,
}

impl WeightCache {
    /// Creates a cache in `folder` that downloads from `store`, the URL before `/MODEL/VERSION`.
    pub fn new(folder: PathBuf, store: &str) -> Self {
        Self {
            folder,
            store: store.to_owned(),
            http: net::Client::new(),
            downloads: Mutex::default(),
        }
    }

    fn path(&self, model: &Name, version: u64) -> PathBuf {
        self.folder.join(format!("{model}@{version}"))
    }

    /// Opens the file of a version and downloads it first if it is missing.
    async fn open(&self, model: &Name, version: u64) -> Result<File, CacheError> {
        let download = {
            let mut downloads = self.downloads.lock();
            let key = (model.clone(), version);
            downloads.entry(key).or_default().clone()
        };
        let _guard = download.lock().await;
        let path = self.path(model, version);
        match File::open(&path).await {
            Ok(file) => return Ok(file),
            Err(error) if error.kind() == io::ErrorKind::NotFound => (),
            Err(error) => return Err(error.into()),
        }
        self.download(model, version).await?;
        self.prune(model, version).await;
        Ok(File::open(&path).await?)
    }

    /// Downloads a version to a temporary file and renames it when it is complete, so that a crash
    /// leaves no partial file under the version's name.
    async fn download(&self, model: &Name, version: u64) -> Result<(), CacheError> {
        if self.store.is_empty() {
            return Err(CacheError::NoStore);
        }
        let uri = format!("{}/{model}/{version}", self.store);
        let request = Request::get(uri).body(Full::new(Bytes::new()));
        let request = request.map_err(|_| CacheError::NoStore)?;
        let response = self.http.send(request, STORE_TIMEOUT).await?;
        if response.status() != StatusCode::OK {
            return Err(CacheError::Status(response.status()));
        }
        fs::create_dir_all(&self.folder).await?;
        let partial = self.folder.join(format!("{model}@{version}.part"));
        let mut file = File::create(&partial).await?;
        let mut body = response.into_body();
        loop {
            let frame = tokio::time::timeout(STORE_TIMEOUT, body.frame()).await;
            let frame = frame.map_err(|_| net::SendError::Timeout)?;
            let Some(frame) = frame else {
                break;
            };
            let frame = frame.map_err(|_| net::SendError::Broken)?;
            if let Some(data) = frame.data_ref() {
                file.write_all(data).await?;
            }
        }
        file.sync_all().await?;
        fs::rename(&partial, self.path(model, version)).await?;
        Ok(())
    }

    /// Removes old versions of a model. Errors are ignored: a file that cannot be removed only takes up
    /// disk space.
    async fn prune(&self, model: &Name, version: u64) {
        let Ok(mut entries) = fs::read_dir(&self.folder).await else {
            return;
        };
        let mut old = Vec::new();
        while let Ok(Some(entry)) = entries.next_entry().await {
            let name = entry.file_name().to_string_lossy().into_owned();
            let Some((file_model, file_version)) = name.split_once('@') else {
                continue;
            };
            match file_version.parse::<u64>() {
                Ok(found) if file_model == &**model && found < version => {
                    old.push((found, entry.path()))
                }
                _ => (),
            }
        }
        old.sort_by_key(|(found, _)| std::cmp::Reverse(*found));
        for (found, path) in old.into_iter().skip(KEPT_VERSIONS - 1) {
            let _ = fs::remove_file(path).await;
            self.downloads.lock().remove(&(model.clone(), found));
        }
    }
}

/// Handles `GET /weights/{model}/{version}` from engines.
pub async fn serve(app: Arc<App>, call: Call) -> Reply {
    let not_found = || body::reply(StatusCode::NOT_FOUND, "text/plain", "no such version");
    let Some(cache) = &app.cache else {
        return not_found();
    };
    let (Ok(model), Ok(version)) = (call.segment(1).parse(), call.segment(2).parse()) else {
        return not_found();
    };
    match cache.open(&model, version).await {
        Ok(file) => stream_file(file).await,
        Err(error) => {
            let text = error.to_string();
            log::warn!(target: "cache", model = &*model, version = version, error = text.as_str();
                "could not serve a weight version");
            body::reply(StatusCode::BAD_GATEWAY, "text/plain", text)
        }
    }
}

/// Returns a response that streams the file.
async fn stream_file(mut file: File) -> Reply {
    let length = file.metadata().await.map(|metadata| metadata.len());
    let (sender, stream) = body::stream();
    tokio::spawn(async move {
        loop {
            let mut chunk = vec![0; CHUNK_BYTES];
            let read = match file.read(&mut chunk).await {
                Ok(0) => return,
                Ok(read) => read,
                Err(error) => {
                    let _ = sender.send(Err(error)).await;
                    return;
                }
            };
            chunk.truncate(read);
            if sender.send(Ok(Bytes::from(chunk))).await.is_err() {
                return;
            }
        }
    });
    let mut reply = Reply::new(stream);
    if let Ok(length) = length {
        // The length lets an engine detect a truncated download.
        reply.headers_mut().insert(CONTENT_LENGTH, length.into());
    }
    reply
}
