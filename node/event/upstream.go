package event

import "go.uber.org/zap/zapcore"

// Events of upstreams' reports.
var (
	UpstreamListed        = Event{1902, "upstream_seen", zapcore.InfoLevel, "The platform lists an upstream that this host did not know."}
	UpstreamsListed       = Event{1909, "upstreams_seen", zapcore.InfoLevel, "The platform lists count upstreams that this host did not know, too many for a line each."}
	UpstreamExcluded      = Event{1903, "upstream_resting", zapcore.WarnLevel, "An upstream gets no requests for a moment; why says what its answers showed (silent, failures, misdirected: a process at its address that does not say who it is refuses its requests, or how an exchange broke). After that single requests try it."}
	UpstreamMassRemoval   = Event{1904, "upstream_lapsed", zapcore.WarnLevel, "Entries of several upstreams vanished together, as after a store outage; they are used a little longer, in case they come back."}
	UpstreamTerminated    = Event{1906, "upstream_ended", zapcore.WarnLevel, "An upstream's process ended while requests of this host were under way there: its address refuses connections. under_way are the digests of what they were, parts those of the parts of their prompts that other requests may share; one that stands in many such lines ends upstreams."}
	UpstreamLimitChanged  = Event{1907, "upstream_limited", zapcore.InfoLevel, "An upstream names another limit than before for all hosts together, in requests a second; per_second below 0: none any more. source says who heard it."}
	UpstreamBackoff       = Event{1908, "upstream_asked_rest", zapcore.InfoLevel, "An upstream turned a request of this host away and asked it to send nothing for for_ms."}
	UpstreamBrittle       = Event{1914, "upstream_brittle", zapcore.InfoLevel, "An upstream says that it falls over when it has to turn away more than refusals_per_s requests in a second, of all hosts together; below 0: no longer. source says who heard it."}
	UpstreamRoomLearnt    = Event{1915, "upstream_room", zapcore.InfoLevel, "The host that counts for all has learnt, by turned_away refusals of a brittle upstream, that it has room for so many requests. At most once a second for an upstream."}
	UpstreamSpeedChanged  = Event{1916, "upstream_speed", zapcore.InfoLevel, "The host that acts for all gives an upstream less, or more, of the requests from now on, since its times differ from those of its service; or again as many as the others (slowdown 1). slowdown is the multiple of the usual time that was learnt, stated the one that the upstream states besides (0: none). At most one line a second on one upstream."}
	UpstreamAddressShared = Event{1917, "upstream_address_shared", zapcore.InfoLevel, "An upstream is listed at the address of another one, other, that is still in use; one of the two processes has ended. Requests for it are refused until its entry is gone."}
	UpstreamReturned      = Event{1905, "upstream_back", zapcore.InfoLevel, "The entry of an upstream that had vanished is back."}

	PartitionSuspected = Event{1910, "partition_suspected", zapcore.InfoLevel, "Exchanges with several upstreams fail and none answers, or no new connection opens (cause): trials at a few upstreams tell whether this host is cut off from all. failures and silent count the upstreams, quiet_ms is the time since the last byte from any."}
	PartitionRefuted   = Event{1911, "partition_refuted", zapcore.InfoLevel, "An upstream accepted or answered a trial: this host is not cut off from all. Look at the upstreams that fail."}
	PartitionBegan     = Event{1912, "partition_begun", zapcore.WarnLevel, "This host reaches no upstream, since since_ms; cause says what raised the suspicion that as many trials as dials confirmed, mute whether connections may still open and only carry nothing. What it observes of upstreams goes to no other host. Look at the network between this host and the upstreams; if all hosts say so, at the upstreams."}
	PartitionEnded     = Event{1913, "partition_ended", zapcore.InfoLevel, "This host reaches upstreams again, after the time in after. Its exclusions of upstreams are dropped. received: bytes arrived where nothing but silence had spoken for the partition, so that the upstreams may have been silent themselves."}

	ReportFailed = Event{1901, "report_failed", zapcore.WarnLevel, "An upstream did not give its report; said once until it does again. If it lasts, look at the upstream and the network to it."}
)

var upstreamEvents = []Event{ReportFailed, UpstreamListed, UpstreamsListed, UpstreamExcluded, UpstreamMassRemoval, UpstreamReturned, UpstreamTerminated, UpstreamLimitChanged, UpstreamBackoff, UpstreamBrittle, UpstreamRoomLearnt, UpstreamSpeedChanged, UpstreamAddressShared,
	PartitionSuspected, PartitionRefuted, PartitionBegan, PartitionEnded}
