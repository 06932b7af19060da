// Package orders brings the engines of chat pools to the version that their
// pool should serve. Controller is a level-triggered reconciler under the duty
// lease "orders/<pool>". Orders state the wanted version, never a change, and
// carry the lease's fencing token; for engines that ignore the token an intent
// in the object API and a waiting time take its place.
package orders
