// Command standin runs the stand-ins of the platform: the object API, the
// instance list, the cloud API, the weight store, model engines and plain
// services.
package main

func main() {}
