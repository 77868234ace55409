// Package baobabtide distributes configuration to the nodes of a service mesh
// and carries requests between callers and backend servers.
//
// The root package holds the domain types and the interfaces between packages.
// Packages named after the party at the other end (btcaller, btbackend,
// btplatform, btoperator, btpeer) do I/O. Packages that make decisions (btconfig,
// btmember, btroute, btadmit, btretry, btledger, btrollout) do none and take the
// time as an argument.
package baobabtide
