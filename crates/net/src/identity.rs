//! Check that a connection leads to the upstream that is meant.
//!
//! The address of an upstream that has ended may be taken over by another process. Whatever answers there would get
//! the requests of callers, and its answers would count as those of the upstream. A connection is used only once the
//! server has given the expected identity. A URI has that before the address: `http://IDENTITY@ADDRESS/`.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Uri;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper::client::conn::http1;
use tokio::time::timeout;

use crate::connect::CheckedStream;

/// Path at which an upstream gives its identity in the header [`HEADER`].
pub const PATH: &str = "/v1/identity";

/// Response header with the identity of an upstream.
pub const HEADER: &str = "x-upstream";

/// Timeout of the check, as long as that of the connect.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Limit on the size of the response body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 10;

/// Returns the identity that the server of a URI has to give, if the URI has one.
pub(crate) fn expected(uri: &Uri) -> Option<&str> {
    let (identity, _) = uri.authority()?.as_str().rsplit_once('@')?;
    Some(identity)
}

/// Returns the connection if its server gives this identity.
///
/// # Errors
///
/// Returns an error if the server gives another one or none, or does not answer in time.
pub(crate) async fn check(
    stream: CheckedStream,
    uri: &Uri,
    identity: &str,
) -> io::Result<CheckedStream> {
    let exchange = timeout(CHECK_TIMEOUT, fetch(stream, uri));
    let result = exchange
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    let why = match result {
        Ok((stream, found)) if found.as_deref() == Some(identity) => return Ok(stream),
        Ok((_, Some(found))) => format!("it is {found}"),
        Ok((_, None)) => "it has no identity".to_owned(),
        Err(error) => error.to_string(),
    };
    let address = format!(
        "{}:{}",
        uri.host().unwrap_or_default(),
        uri.port_u16().unwrap_or_default()
    );
    log::warn!(target: "net", upstream = identity, address = address.as_str(), why = why.as_str();
        "server not identified as the upstream");
    Err(io::Error::other(why))
}

/// Asks the server for its identity; returns the connection as well.
async fn fetch(stream: CheckedStream, uri: &Uri) -> io::Result<(CheckedStream, Option<String>)> {
    let host = uri.host().unwrap_or_default();
    let request = Request::get(PATH)
        .header(HOST, host)
        .body(Empty::<Bytes>::new());
    let request = request.map_err(io::Error::other)?;
    let (mut sender, connection) = http1::handshake(stream).await.map_err(io::Error::other)?;
    let exchange = async move {
        let response = sender
            .send_request(request)
            .await
            .map_err(io::Error::other)?;
        let identity = response
            .headers()
            .get(HEADER)
            .and_then(|identity| identity.to_str().ok());
        let identity = identity.map(str::to_owned);
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES);
        body.collect().await.map_err(io::Error::other)?;
        Ok::<_, io::Error>(identity)
    };
    // The connection returns its stream once the exchange has ended and dropped the sender.
    let (identity, parts) = tokio::join!(exchange, connection.without_shutdown());
    Ok((parts.map_err(io::Error::other)?.io, identity?))
}
