package membership

// incarnation identifies an instance among those that use the same name in
// succession.
type incarnation struct{ name, address string }

func (i Instance) incarnation() incarnation { return incarnation{i.Name, i.Address} }
