// Package routed serves requests by the routes of a published site. It resolves the route and
// the workspace of a request, admits it, picks an endpoint, sends the request there directly,
// retries where that is allowed, and delivers the response unchanged.
//
// The decisions are made by packages site, workspace, endpoint/pick, call (Direct) and
// eventstream. This package drives them with connections and clocks.
//
// A request is forwarded unchanged: its method, its target as it stood in the request line,
// its body, and its headers except for the hop-by-hop ones and those named by Headers. A
// response is delivered with the endpoint's status, headers and body, or not at all.
//
// Lock order: no lock of this package is held during a call into another package.
package routed
