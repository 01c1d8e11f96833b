; Short day with overlapping troubles, for tests.
(name short)
(length 5s)
(tail 3s)
(nodes 2)
(rate 60/s)
(servers
  (server (capacity 60/s))
  (server (capacity 60/s))
  (server (capacity 60/s)))
(classes
  (class (name browse) (share 94) (aim 1500ms) (deadline 9s) (worth 1) (late-worth 0.25) (length 2s))
  (class (name mark-sold) (share 6) (aim 1s) (deadline 6s) (worth 8) (late-worth 0.1) (length 2s)))
(watchdog 500ms)
(answer-margin 200ms)
(list (delay 200ms) (spread 50ms))
(troubles
  (trouble (kind hang) (at 1s) (for 2s) (on 0))
  (trouble (kind drain) (at 1500ms) (for 1500ms) (on 1))
  (trouble (kind silent-watchdog) (at 2500ms) (for 2s) (on 2))
  (trouble (kind crash) (at 4s) (for 500ms) (on 0)))
