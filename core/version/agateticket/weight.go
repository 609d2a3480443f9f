package agateticket

// Sizes of encoded objects without their lists, in bytes.
const (
	ticketWeight   = 48
	centreWeight   = 64
	serviceWeight  = 160
	serverWeight   = 128
	rulesetWeight  = 48
	ruleWeight     = 48
	teamWeight     = 48
	ringWeight     = 128
	distanceWeight = 24
	addressWeight  = 24
	numberWeight   = 3
)

// Weight returns about how many bytes the encoded ticket has, without
// encoding it.
func (t *Ticket) Weight() int {
	weight := ticketWeight + len(t.Note) + len(t.Servers)*serverWeight + len(t.Teams)*teamWeight
	for i := range t.Centres {
		weight += centreWeight + len(t.Centres[i].Distances)*distanceWeight
	}
	for i := range t.Services {
		weight += serviceWeight + len(t.Services[i].Addresses)*addressWeight
	}
	for i := range t.Rules {
		weight += rulesetWeight
		for j := range t.Rules[i].Rules {
			rule := &t.Rules[i].Rules[j]
			weight += ruleWeight + len(rule.Region) + len(rule.Centres)*numberWeight
		}
	}
	if t.Ring != nil {
		weight += ringWeight
	}
	return weight
}
