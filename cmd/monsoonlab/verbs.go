package main

// verb is one row of the table of verbs.
type verb struct {
	name    string
	summary string
	command any // A pointer to a kong command with Help and Run methods.
}

// verbs returns the table of all verbs, in the order in which help shows them.
func verbs() []verb {
	return []verb{
		{"engine", "Serve a stand-in model engine.", &engineCommand{}},
		{"service", "Serve a stand-in plain service.", &serviceCommand{}},
		{"store", "Serve a stand-in key-value service.", &storeCommand{}},
		{"list", "Serve a stand-in instance list.", &listCommand{}},
		{"bench", "Measure placement policies.", &benchCommand{}},
		{"help", "Explain a verb.", &helpCommand{}},
	}
}
