// Package reach detects that an instance is cut from all backend servers of a service.
//
// A single backend server that does not answer is left to package outlier. A partition
// between the instance and all of them looks different: within a short time several
// backend servers fail, and none responds. Attempts on its own would then only cost the
// caller time. The instance hands its requests to peers instead (package gateway,
// handoff.go), and checks in the background whether a backend server responds again.
//
// From one instance, a service whose backend servers are all down looks the same. Its
// peers then reach none either, and the request is refused at once.
//
// State: the time of the last response and the backend servers that have failed since,
// for each service. It is lost on exit and rebuilt by the next attempts.
package reach
