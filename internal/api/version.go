package api

// Version is the spec of a version of a model or an application that a pool can
// serve.
type Version struct {
	Pool string `json:"pool"`
	// Model is the model name that the engines use. Empty for plain services.
	Model string `json:"model,omitempty"`
	// Weights is the name of the weights in the weight store. Empty for plain
	// services.
	Weights string `json:"weights,omitempty"`
}
