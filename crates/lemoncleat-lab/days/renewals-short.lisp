; Short variant of the day renewals: certificates with a lifetime of 12 s, obtained by the other challenge.
(name renewals-short)
(length 14s)
(tail 3s)
(nodes 2)
(fronts 2)
(rate 40/s)
(servers
  (server (capacity 150/s) (lines 900) (zone lisboa))
  (server (capacity 150/s) (lines 900) (zone porto)))
(classes (class (name browse) (share 1) (aim 1500ms) (deadline 9s) (worth 1) (length 5s)))
(callers (redials 0))
(certificates (lifetime 12s) (renew-at 0.3) (challenge tls-alpn-01) (bad-nonces 0.2))
(harmless yes)
(troubles
  (trouble (kind rehandshake) (at 3s) (for 8s))
  (trouble (kind authority-refuses) (at 3s) (for 6s)))
