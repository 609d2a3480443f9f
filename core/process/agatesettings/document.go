package agatesettings

// document is the settings file as it is read. Every value is any, so that a
// value of a wrong type is one fault among others instead of the end of reading.
type document struct {
	VM struct {
		ID     any `toml:"id"`
		Centre any `toml:"centre"`
	} `toml:"vm"`
	Listen struct {
		Callers any `toml:"callers"`
		Sockets any `toml:"sockets"`
		Servers any `toml:"servers"`
		Relay   any `toml:"relay"`
		Link    any `toml:"link"`
		Admin   any `toml:"admin"`
	} `toml:"listen"`
	Advertise struct {
		Link  any `toml:"link"`
		Relay any `toml:"relay"`
	} `toml:"advertise"`
	Platform struct {
		Addresses any `toml:"addresses"`
		Budget    any `toml:"budget"`
	} `toml:"platform"`
	Peers struct {
		Secret  any `toml:"secret"`
		Cert    any `toml:"cert"`
		Key     any `toml:"key"`
		CA      any `toml:"ca"`
		Degree  any `toml:"degree"`
		Readers any `toml:"readers"`
	} `toml:"peers"`
	Admin struct {
		Token any `toml:"token"`
	} `toml:"admin"`
	Log struct {
		Format any `toml:"format"`
		Level  any `toml:"level"`
	} `toml:"log"`
	Balance struct {
		Policy any `toml:"policy"`
	} `toml:"balance"`
	Packets struct {
		Batch    any `toml:"batch"`
		Queue    any `toml:"queue"`
		Refusals any `toml:"refusals"`
	} `toml:"packets"`
	Stop struct {
		Drain any `toml:"drain"`
	} `toml:"stop"`
	Dump struct {
		FD any `toml:"fd"`
	} `toml:"dump"`
}
