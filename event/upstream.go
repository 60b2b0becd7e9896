package event

// Events about upstreams, 300 to 349.
var (
	UpstreamAdded       = register(300, "upstream_added", "An upstream announced itself and may get requests.")
	UpstreamRemoved     = register(301, "upstream_removed", "An upstream was not heard of in time, or left, and is forgotten.")
	AnnouncementRefused = register(302, "announcement_refused", "An announcement made no sense and was not taken.")
	UpstreamEjected     = register(303, "upstream_ejected", "An upstream failed or was far slower than the others and gets no requests for a while.")
	UpstreamReadmitted  = register(304, "upstream_readmitted", "An ejected upstream gets requests again.")
)
