// Package peering exchanges state between daemons: which daemons exist and are
// ready, which configuration each has and how recently it was confirmed, and
// counts that the holder of duties aggregates. Each daemon requests reports from
// the other daemons in turn over UDP. Responses also contain evidence of other daemons:
// that they were alive some time ago. A response proves that its sender was alive
// after the request was sent; an unsolicited message would not prove this if the
// receiver had been suspended in the meantime.
package peering
