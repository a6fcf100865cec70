//! Which path goes where.

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
use crate::complete;
use crate::forward;
use crate::operator;
use crate::peer as peers;
use crate::refuse;
use crate::steps;
use crate::trace::Trace;
use crate::weights;

fn every() -> Vec<Method> {
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

/// Draws one path: the given method goes to `function`, every other one is refused.
macro_rules! draw {
    ($route:ident, $app:ident, $method:expr, $path:expr, $function:path) => {
        let others = every().into_iter().filter(|method| *method != $method);
        $route
            .request(vec![$method], $path)
            .to_new_handler(HandlerFn::new($app, $function));
        $route
            .request(others.collect::<Vec<_>>(), $path)
            .to_new_handler(HandlerFn::new($app, wrong_method));
    };
}

/// Draws every path of an entry.
pub fn router(app: &Arc<App>) -> Router {
    build_simple_router(|route| {
        draw!(route, app, Method::POST, "/v1/completions", complete::serve);
        draw!(route, app, Method::POST, "/v1/steps", steps::open);
        draw!(
            route,
            app,
            Method::POST,
            "/v1/steps/:step/pull",
            steps::pull
        );
        draw!(route, app, Method::DELETE, "/v1/steps/:step", steps::end);
        draw!(
            route,
            app,
            Method::POST,
            "/v1/weights/:model",
            weights::announce
        );
        draw!(route, app, Method::GET, "/healthz", operator::health);
        draw!(route, app, Method::GET, "/readyz", operator::ready);
        draw!(route, app, Method::GET, "/metrics", operator::metrics);
        draw!(
            route,
            app,
            Method::POST,
            "/operator/status",
            operator::status
        );
        draw!(route, app, Method::POST, "/operator/drain", operator::drain);
        draw!(
            route,
            app,
            Method::POST,
            "/operator/explain/:about",
            operator::explain
        );
        draw!(
            route,
            app,
            Method::POST,
            "/operator/steps/:step",
            operator::step
        );
        draw!(route, app, Method::POST, peer::PING, peers::ping);
        draw!(route, app, Method::POST, peer::JOURNAL, peers::journal);
        draw!(route, app, Method::POST, peer::STEP_PULL, peers::pull);
        draw!(route, app, Method::POST, peer::STEP_END, peers::end);
        draw!(route, app, Method::POST, steps::ASKED, peers::ended);
        draw!(
            route,
            app,
            Method::GET,
            "/weights/:model/:version",
            cache::serve
        );
        for path in ["/v1/services/:service", "/v1/services/:service/*"] {
            route
                .request(every(), path)
                .to_new_handler(HandlerFn::new(app, forward::serve));
        }
        for path in ["/", "/*"] {
            route
                .request(every(), path)
                .to_new_handler(HandlerFn::new(app, nowhere));
        }
    })
}

fn refused(app: &App, call: &Call, kind: Type) -> impl Future<Output = Reply> + use<> {
    let trace = Trace::begin("unrouted", app.clock);
    let problem = Problem::new(kind, Attempt::new().refuse());
    let problem = problem.with_detail(format!("{} {}", call.method, call.uri.path()));
    let reply = refuse::finish(app, trace, Err(problem));
    std::future::ready(reply)
}

async fn nowhere(app: Arc<App>, call: Call) -> Reply {
    refused(&app, &call, Type::NotFound).await
}

async fn wrong_method(app: Arc<App>, call: Call) -> Reply {
    refused(&app, &call, Type::Method).await
}
