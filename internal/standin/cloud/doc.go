// Package cloud is the stand-in of the cloud API: reclaim notices for
// instances and whole failure domains, and starts that may be refused.
package cloud
