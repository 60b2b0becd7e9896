package event

// Events of upstreams, 300 to 349.
var (
	UpstreamAdded       = register(300, "upstream_added", "An upstream announced itself and may receive requests.")
	UpstreamRemoved     = register(301, "upstream_removed", "An upstream timed out or left, and was removed.")
	AnnouncementRefused = register(302, "announcement_refused", "An invalid announcement was refused.")
	UpstreamEjected     = register(303, "upstream_ejected", "An upstream failed or was far slower than the others and receives no requests for some time.")
	UpstreamReadmitted  = register(304, "upstream_readmitted", "An ejected upstream receives requests again.")
)
