//! The routes of an entry.

use std::future::Future;
use std::sync::Arc;

use gotham::router::Router;
use gotham::router::builder::DefineSingleRoute;
use gotham::router::builder::DrawRoutes;
use gotham::router::builder::build_simple_router;
use http::Method;
use net::Call;
use net::HandlerFn;
use net::Reply;
use route::Attempt;
use wire::Problem;
use wire::peer;
use wire::problem::Type;

use crate::App;
use crate::cache;
use crate::completions;
use crate::forward;
use crate::operator;
use crate::peer as peers;
use crate::reply;
use crate::steps;
use crate::trace::Trace;
use crate::weights;

/// Returns all HTTP methods.
fn all_methods() -> Vec<Method> {
    vec![
        Method::GET,
        Method::HEAD,
        Method::POST,
        Method::PUT,
        Method::PATCH,
        Method::DELETE,
        Method::OPTIONS,
        Method::TRACE,
        Method::CONNECT,
    ]
}

/// Adds a route: calls with the given method go to `$function`, calls with any other method are rejected.
macro_rules! add_route {
    ($route:ident, $app:ident, $method:expr, $path:expr, $function:path) => {
        let others = all_methods()
            .into_iter()
            .filter(|method| *method != $method);
        $route
            .request(vec![$method], $path)
            .to_new_handler(HandlerFn::new($app, $function));
        $route
            .request(others.collect::<Vec<_>>(), $path)
            .to_new_handler(HandlerFn::new($app, wrong_method));
    };
}

/// Builds the router of an entry.
pub fn router(app: &Arc<App>) -> Router {
    build_simple_router(|route| {
        add_route!(
            route,
            app,
            Method::POST,
            "/v1/completions",
            completions::serve
        );
        add_route!(route, app, Method::POST, "/v1/steps", steps::open);
        add_route!(
            route,
            app,
            Method::POST,
            "/v1/steps/:step/pull",
            steps::pull
        );
        add_route!(route, app, Method::DELETE, "/v1/steps/:step", steps::end);
        add_route!(
            route,
            app,
            Method::POST,
            "/v1/weights/:model",
            weights::announce
        );
        add_route!(route, app, Method::GET, "/healthz", operator::health);
        add_route!(route, app, Method::GET, "/readyz", operator::ready);
        add_route!(route, app, Method::GET, "/metrics", operator::metrics);
        add_route!(
            route,
            app,
            Method::POST,
            "/operator/status",
            operator::status
        );
        add_route!(route, app, Method::POST, "/operator/drain", operator::drain);
        add_route!(
            route,
            app,
            Method::POST,
            "/operator/explain/:about",
            operator::explain
        );
        add_route!(
            route,
            app,
            Method::POST,
            "/operator/steps/:step",
            operator::step
        );
        add_route!(route, app, Method::POST, peer::PING, peers::ping);
        add_route!(route, app, Method::POST, peer::JOURNAL, peers::journal);
        add_route!(route, app, Method::POST, peer::STEP_PULL, peers::pull);
        add_route!(route, app, Method::POST, peer::STEP_END, peers::end);
        add_route!(
            route,
            app,
            Method::POST,
            steps::STEP_ENDED_PATH,
            peers::ended
        );
        add_route!(
            route,
            app,
            Method::GET,
            "/weights/:model/:version",
            cache::serve
        );
        for path in ["/v1/services/:service", "/v1/services/:service/*"] {
            route
                .request(all_methods(), path)
                .to_new_handler(HandlerFn::new(app, forward::serve));
        }
        for path in ["/", "/*"] {
            route
                .request(all_methods(), path)
                .to_new_handler(HandlerFn::new(app, unknown_path));
        }
    })
}

/// Rejects a call that no route serves.
fn reject(app: &App, call: &Call, kind: Type) -> impl Future<Output = Reply> + use<> {
    let trace = Trace::begin("unrouted", app.clock);
    let problem = Problem::new(kind, Attempt::new().refuse());
    let problem = problem.with_detail(format!("{} {}", call.method, call.uri.path()));
    let reply = reply::finish(app, trace, Err(problem));
    std::future::ready(reply)
}

async fn unknown_path(app: Arc<App>, call: Call) -> Reply {
    reject(&app, &call, Type::NotFound).await
}

async fn wrong_method(app: Arc<App>, call: Call) -> Reply {
    reject(&app, &call, Type::Method).await
}
