// Package routed answers callers by the routes of a published site: it finds the
// route and the workspace of a request, admits it, picks an endpoint, sends the
// request there directly, tries again where that is allowed, and delivers the
// answer as the endpoint gave it.
//
// The decisions are those of packages site, workspace, endpoint/pick, call
// (Direct) and eventstream. This package drives them with connections and clocks.
//
// A request is forwarded byte for byte: its method, its target as it stood in the
// request line, its body, and its headers but for those that concern one
// connection only and those that Headers names. An answer is delivered with the
// endpoint's status, headers and body, or not at all.
//
// Lock order: none of the locks below is held over a call into another package.
package routed
