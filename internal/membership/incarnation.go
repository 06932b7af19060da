package membership

// incarnation identifies one life of an instance.
type incarnation struct{ name, address string }

func (i Instance) incarnation() incarnation { return incarnation{i.Name, i.Address} }
