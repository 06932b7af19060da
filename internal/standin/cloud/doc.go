// Package cloud simulates the cloud API: reclaim notices for instances and whole
// failure domains, and starts of instances, which may be refused.
package cloud
