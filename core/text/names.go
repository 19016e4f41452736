package text

import "monsoonfork/core/ident"

// namesOf returns the names of entries in their order.
func namesOf[E any, N ~string](entries []E, name func(*E) N) []N {
	names := make([]N, len(entries))
	for i := range entries {
		names[i] = name(&entries[i])
	}
	return names
}

func (t *Text) modelNames() []ident.ModelID {
	return namesOf(t.Models, func(m *Model) ident.ModelID { return m.Name })
}

func (t *Text) serviceNames() []ident.ServiceID {
	return namesOf(t.Services, func(s *Service) ident.ServiceID { return s.Name })
}

func (t *Text) organisationNames() []ident.OrganisationID {
	return namesOf(t.Organisations, func(o *Organisation) ident.OrganisationID { return o.Name })
}

func (t *Text) keyNames() []ident.KeyID {
	return namesOf(t.Keys, func(k *Key) ident.KeyID { return k.Name })
}
