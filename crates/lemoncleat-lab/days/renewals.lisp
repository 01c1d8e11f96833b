; Certificates with a lifetime of 40 s under steady load: about seven renewals per node, while the authority
; fails and servers drain.
(name renewals)
(length 150s)
(nodes 3)
(rate 60/s)
(servers
  (server (capacity 150/s) (lines 900) (zone lisboa))
  (server (capacity 150/s) (lines 900) (zone porto))
  (server (capacity 150/s) (lines 900) (zone faro)))
(classes
  (class (name browse) (share 94) (aim 1500ms) (deadline 9s) (worth 1) (late-worth 0.25) (length 20s))
  (class (name mark-sold) (share 6) (aim 1s) (deadline 6s) (worth 8) (late-worth 0.1) (length 20s)))
(callers (redials 0))
(drain-grace 2s)
(certificates (lifetime 40s) (renew-at 0.5) (bad-nonces 0.2))
(harmless yes)
(troubles
  (trouble (kind rehandshake) (at 10s) (for 10s))
  (trouble (kind authority-away) (at 15s) (for 21s))
  (trouble (kind rehandshake) (at 36s) (for 8s))
  (trouble (kind authority-refuses) (at 45s) (for 30s))
  (trouble (kind dpr) (at 50s) (for 5s) (on 0))
  (trouble (kind rehandshake) (at 60s) (for 15s))
  (trouble (kind dpr) (at 95s) (for 5s) (on 2))
  (trouble (kind authority-away) (at 100s) (for 18s))
  (trouble (kind rehandshake) (at 105s) (for 30s)))
