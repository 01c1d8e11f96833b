; Baseline without any trouble.
(name calm)
(length 10s)
(nodes 2)
(rate 100/s)
(servers
  (server (capacity 80/s))
  (server (capacity 80/s)))
(classes
  (class (name browse) (share 94) (aim 1500ms) (deadline 9s) (worth 1) (late-worth 0.25) (length 3s))
  (class (name mark-sold) (share 6) (aim 1s) (deadline 6s) (worth 8) (late-worth 0.1) (length 3s)))
