package convert

import (
	"foxtailspoke/api/platform/oas"
	"foxtailspoke/storage"
)

// InstanceToAPI returns an instance as the API writes it.
func InstanceToAPI(i storage.Instance) *oas.Instance {
	out := &oas.Instance{
		ID:              i.ID,
		Kind:            oas.Kind(i.Kind),
		Service:         optString(i.Service),
		DataCentre:      optString(i.DataCentre),
		Region:          optString(i.Region),
		Address:         optString(i.Address),
		PeerAddress:     optString(i.PeerAddress),
		OperatorAddress: optString(i.OperatorAddress),
		State:           oas.InstanceState(i.State),
	}
	if i.Slots != 0 {
		out.Slots = oas.NewOptInt(i.Slots)
	}
	return out
}

// InstanceFromAPI returns an instance read from the API.
func InstanceFromAPI(i *oas.Instance) storage.Instance {
	return storage.Instance{
		ID:              i.ID,
		Kind:            storage.Kind(i.Kind),
		Service:         i.Service.Or(""),
		DataCentre:      i.DataCentre.Or(""),
		Region:          i.Region.Or(""),
		Address:         i.Address.Or(""),
		PeerAddress:     i.PeerAddress.Or(""),
		OperatorAddress: i.OperatorAddress.Or(""),
		Slots:           i.Slots.Or(0),
		State:           storage.State(i.State),
	}
}

// InstanceChangesToAPI returns the list's changes as the API writes them.
func InstanceChangesToAPI(c storage.InstanceChanges) *oas.InstanceChanges {
	out := &oas.InstanceChanges{Version: c.Version, Changed: make([]oas.Instance, len(c.Changed))}
	for i, instance := range c.Changed {
		out.Changed[i] = *InstanceToAPI(instance)
	}
	if c.Full {
		out.Full = oas.NewOptBool(true)
	}
	return out
}

// InstanceChangesFromAPI returns the list's changes.
func InstanceChangesFromAPI(c *oas.InstanceChanges) storage.InstanceChanges {
	out := storage.InstanceChanges{Version: c.Version, Full: c.Full.Or(false)}
	for i := range c.Changed {
		out.Changed = append(out.Changed, InstanceFromAPI(&c.Changed[i]))
	}
	return out
}

func optString(s string) oas.OptString {
	if s == "" {
		return oas.OptString{}
	}
	return oas.NewOptString(s)
}
