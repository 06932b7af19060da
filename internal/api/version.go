package api

// Version is a version of a model or app that a pool can serve.
type Version struct {
	Pool string `json:"pool"`
	// Model is the name under which the engines know the model. Empty for
	// plain services.
	Model string `json:"model,omitempty"`
	// Weights names the weights in the weight store. Empty for plain services.
	Weights string `json:"weights,omitempty"`
}
