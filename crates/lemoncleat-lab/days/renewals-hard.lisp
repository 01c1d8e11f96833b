; Certificates with a lifetime of 15 s are renewed while servers drain, fall silent and crash, and a node
; stalls.
(name renewals-hard)
(length 60s)
(nodes 3)
(rate 60/s)
(servers
  (server (capacity 150/s) (lines 900) (zone lisboa))
  (server (capacity 150/s) (lines 900) (zone porto))
  (server (capacity 150/s) (lines 900) (zone faro)))
(classes
  (class (name browse) (share 94) (aim 1500ms) (deadline 9s) (worth 1) (late-worth 0.25) (length 8s))
  (class (name mark-sold) (share 6) (aim 1s) (deadline 6s) (worth 8) (late-worth 0.1) (length 8s)))
(drain-grace 2s)
(certificates (lifetime 15s) (renew-at 0.4) (challenge tls-alpn-01) (bad-nonces 0.2))
(troubles
  (trouble (kind silent-watchdog) (at 4s) (for 6s) (on 1))
  (trouble (kind rehandshake) (at 5s) (for 20s))
  (trouble (kind drain) (at 12s) (for 16s) (on 0 2))
  (trouble (kind authority-away) (at 18s) (for 4s))
  (trouble (kind stall) (at 26s) (for 8s) (size 0.3) (pause 1s) (node 1))
  (trouble (kind authority-refuses) (at 30s) (for 14s))
  (trouble (kind crash) (at 34s) (for 5s) (on 1))
  (trouble (kind rehandshake) (at 36s) (for 20s))
  (trouble (kind silent-watchdog) (at 44s) (for 6s) (on 2)))
