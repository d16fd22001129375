package main

// settingsFormat is the settings file of a node, as in a deployment of three failure domains.
const settingsFormat = `node_name = %q
role = "node"
machine_class = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "bilbao"
internal_ports = [%d, %d]
seeds = []
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","stages"]
[zones]
zorrotza = "bilbao"
basauri = "bilbao"
erandio = "bilbao"
[listen]
frontend = "%s:%d"
ready = "%s:%d"
control_plane = "%s:8628"
[limits]
cpu_quota = 0.4
cores = 1
memory_mb = %d
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
lost_ms = 200
config_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
fail_closed = %t
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
recover_s = 12
pass_ms = 120
reuse_window_s = 9.5
[platform]
address = %q
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 5.0
part_writes_s = 200
row_bytes = 65536
across = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
`
