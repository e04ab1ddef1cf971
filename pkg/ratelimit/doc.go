// Package ratelimit keeps the requests to a backend server within the rate limit
// that it states, summed over all instances.
//
// A share of the limit for each instance would not do. With 107 instances and a
// limit of 2 requests per second, a share is one request in 53 s, and a window of
// 4 s may see one request from every instance at once; the sum is exceeded, too,
// while instances disagree about their number. Instead, each request to a
// rate-limited backend server needs a permit, and one instance, the issuer, issues
// all permits of a backend server. The issuer is the instance that ranks first by
// rendezvous hashing in the failure domain of the backend server, so that most
// requests for permits stay within it.
//
// A permit is denied whenever there is doubt about the issuer:
//
//   - An instance issues permits only if its own table of instances names it as
//     the issuer, whichever instance asks. Instances that are counted wrongly lead
//     to denials and not to further permits.
//   - An instance that has started or was paused issues none for settleTime, until
//     its table is up to date.
//   - An instance that is leaving issues none; the next in rank takes over.
//   - Permits of an issuer that does not reply are not issued by another instance
//     until the table has forgotten the issuer (membership, at least 30 s). A
//     restarted instance keeps its name and thereby its rank.
//   - While part of the known instances is forgotten, as during a partition, the
//     rate is scaled by the share of those that are still live. The parts of a
//     partition together stay within the limit.
//
// Until they agree, two instances can both consider themselves the issuer; the
// sum is then at most twice the limit for that time.
//
// The issuer (Issuer) meters permits with the generic cell rate algorithm. It issues
// a permit for a moment in the future if the instance that asks can wait until then.
// A Holder reserves permits ahead, at most one for each backend server, so that no
// request waits for the reply of an issuer: a rate-limited backend server is usable
// while its permit is held. A permit that is not used soon expires, and the instance
// then asks less often, so that the limit goes to the instances that need it.
//
// A backend server that is cold is metered in the same way if its service states how many
// requests it tolerates (routing.RateLimit.Warmup). Its bound applies to one second, so
// that the burst is smaller (warmup.go), reservations reach less far ahead, and an
// instance reserves as many permits as it uses (demand.go). If it was in use before, the
// issuer waits until all instances know that it is cold. The load that this answers: a
// failure domain returns cold, and all instances find it idle at the same moment.
//
// Every instance learns of a limit, its change and its end from responses and from
// replies to load queries and health checks. With a policy that queries loads it
// knows a limit before it sends its first request; with another one it learns of it
// from its first response. The issuer uses the most recent statement that an
// instance has passed on to it.
//
// State: the meters of the backend servers that an instance issues permits for, and
// the permits that it holds; lost at exit. Messages: peerpb.Permit.
//
// Tests: issuer_test.go checks the number of permits in every span against the
// limit, holder_test.go the use of permits; pkg/membership tests how many instances
// consider themselves the issuer, and pkg/gateway counts the requests of many
// instances. The alternatives are in docs/decisions/rate-limits.md.
package ratelimit
