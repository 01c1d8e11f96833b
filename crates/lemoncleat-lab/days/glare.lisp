; Glare: servers place calls as well, and some of their seizures hit circuits that a node is seizing.
(name glare)
(length 30s)
(tail 8s)
(nodes 2)
(rate 60/s)
(servers
  (server (capacity 80/s) (zone lisboa))
  (server (capacity 80/s) (zone porto))
  (server (capacity 80/s) (zone faro)))
(classes
  (class (name browse) (share 94) (aim 1500ms) (deadline 9s) (worth 1) (late-worth 0.25) (length 2s))
  (class (name mark-sold) (share 6) (aim 1s) (deadline 6s) (worth 8) (late-worth 0.1) (length 2s)))
(circuits (size 30) (far-rate 4/s) (far-length 2s) (meets 0.3))
(list (delay 500ms) (spread 200ms))
(troubles
  (trouble (kind hang) (at 6s) (for 3s) (on 0))
  (trouble (kind crash) (at 10s) (for 3s) (on 1))
  (trouble (kind drain) (at 15s) (for 4s) (on 2))
  (trouble (kind silent-watchdog) (at 20s) (for 4s) (on 0))
  (trouble (kind dead-link) (at 22s) (for 4s) (on 1) (node 0)))
