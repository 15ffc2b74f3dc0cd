package main

// Settings as the platform gives them, in the form of its pages. suva is like those of suva-bookings: nodes answer from what
// they have, however old. Routers share nothing, as at cebu-main.
const suva = `{"balancers":2,"me":0,"tickUs":5000,"discovery":"push","family":"replicas","locality":"z","localities":["z"],"tier":0,
"tiers":["booking-db"],"weights":"nominal","valueBy":"request","callers":{"marksRetry":false},"skus":["k"],"parties":[],
"goal":{"whole":0.6,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.2},"overShareWorth":0.1,
"classes":[{"name":"own-bookings","aimUs":500000,"deadlineUs":1200000,"group":"all","lateWorth":0.0,"repeat":"pure","stream":false,"windowUs":5000000,"worth":1.0},
{"name":"run-board","aimUs":600000,"deadlineUs":2000000,"group":"all","lateWorth":0.2,"repeat":"pure","stream":false,"windowUs":5000000,"worth":1.0},
{"name":"crew-check","aimUs":600000,"deadlineUs":2000000,"group":"all","lateWorth":0.0,"repeat":"pure","stream":false,"windowUs":5000000,"worth":1.0},
{"name":"month-report","aimUs":7500000,"deadlineUs":15000000,"group":"all","lateWorth":0.0,"repeat":"pure","stream":false,"windowUs":5000000,"worth":4.0},
{"name":"book-write","aimUs":1000000,"deadlineUs":5000000,"group":"cell","lateWorth":0.5,"repeat":"token","stream":false,"windowUs":3000000,"worth":6.0}],
"limits":{"cancel":true,"connectTimeoutUs":250000,"cpuUsPerRequest":0.0,"cpuUsPerS":731437,"keepaliveUs":30000000,"maxOpen":36571,
"maxRetryAfterUs":1000000,"multiplex":1,"peers":false,"probes":true,"retryAfter":true,"secondCopies":true,"sendCap":6},
"loadReport":{"fields":["x0","x1","depth","load_share"],"source":"inline"},
"prices":{"connection":0.0,"crossZone":0.0,"discovery":0.0,"handshake":0.0,"lateFail":0.08,"moves":0.0,"origin":0.0,"peer":0.017,"probe":0.017,"waste":0.042},
"rules":{"answerSlackUs":20000,"askEveryUs":10000000,"coldUs":14000000,"drainGraceUs":250000,"fallMultiple":2.5,"fallUs":1000000,"startCapacity":0.15},
"specifics":{"answersStamped":true,"commitWaits":false,"consistency":["causal","eventual","strong","eventual","mutate"],
"positionZeroUs":0,"reportX0":"position in seconds after zero","reportX1":"1 from a primary","roleInList":"off","serverChecks":"off",
"stalenessBoundUs":[0,0,0,0,0],"tokenMode":"kept","waitUs":0}}`

// tender is like the settings of tender-portal-main, for a router that no messages of others reach.
const tender = `{"balancers":3,"me":0,"tickUs":5000,"discovery":"push","family":"replicas","locality":"port-louis","localities":["port-louis","ebene"],"tier":0,
"tiers":["tender-db"],"weights":"rough","valueBy":"request","callers":{"marksRetry":false},"skus":["k"],"parties":[],
"goal":{"whole":0.6,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.2},"overShareWorth":0.1,
"classes":[{"name":"notice-browse","aimUs":300000,"deadlineUs":1000000,"group":"all","lateWorth":0.2,"repeat":"pure","stream":false,"windowUs":5000000,"worth":1.0},
{"name":"bid-status","aimUs":400000,"deadlineUs":1500000,"group":"all","lateWorth":0.0,"repeat":"pure","stream":false,"windowUs":5000000,"worth":1.0},
{"name":"opening-report","aimUs":3000000,"deadlineUs":6000000,"group":"all","lateWorth":0.0,"repeat":"pure","stream":false,"windowUs":5000000,"worth":4.0},
{"name":"bid-submit","aimUs":500000,"deadlineUs":5000000,"group":"cell","lateWorth":0.5,"repeat":"token","stream":false,"windowUs":3000000,"worth":6.0}],
"limits":{"cancel":true,"connectTimeoutUs":250000,"cpuUsPerRequest":0.0,"cpuUsPerS":731437,"keepaliveUs":30000000,"maxOpen":36571,
"maxRetryAfterUs":1000000,"multiplex":1,"peers":false,"probes":true,"retryAfter":false,"secondCopies":true,"sendCap":6},
"loadReport":{"fields":["x0","x1","load_share"],"source":"on_probe"},
"prices":{"connection":0.0,"crossZone":0.01,"discovery":0.0,"handshake":0.0,"lateFail":0.05,"moves":0.0,"origin":0.0,"peer":0.011,"probe":0.02,"waste":0.03},
"rules":{"answerSlackUs":20000,"askEveryUs":10000000,"coldUs":17000000,"drainGraceUs":2000000,"fallMultiple":2.0,"fallUs":1500000,"softRemoval":true,"startCapacity":0.17},
"specifics":{"answersStamped":true,"commitWaits":false,"consistency":["lag_bound","strong","eventual","mutate"],
"positionZeroUs":0,"reportX0":"position in seconds after zero","reportX1":"1 from a primary","roleInList":"off","serverChecks":"await",
"stalenessBoundUs":[1500000,0,0,0],"tokenMode":"brought","waitUs":100000}}`

// kyushu is like the settings of kyushu-readings, for a router that no messages of others reach.
const kyushu = `{"balancers":1,"me":0,"tickUs":5000,"discovery":"push","family":"replicas","locality":"z","localities":["z"],"tier":0,
"tiers":["reading-db"],"weights":"nominal","valueBy":"request","callers":{"marksRetry":true},"skus":["k"],"parties":[],
"goal":{"whole":0.6,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.2},"overShareWorth":0.1,
"classes":[{"name":"route-view","aimUs":300000,"deadlineUs":1000000,"group":"all","lateWorth":0.0,"repeat":"pure","stream":false,"windowUs":5000000,"worth":1.0},
{"name":"own-entries","aimUs":200000,"deadlineUs":500000,"group":"all","lateWorth":0.0,"repeat":"pure","stream":false,"windowUs":5000000,"worth":1.0},
{"name":"current-meter","aimUs":300000,"deadlineUs":1200000,"group":"all","lateWorth":0.0,"repeat":"pure","stream":false,"windowUs":5000000,"worth":1.0},
{"name":"monthly-report","aimUs":6000000,"deadlineUs":12000000,"group":"all","lateWorth":0.0,"repeat":"pure","stream":false,"windowUs":5000000,"worth":6.0},
{"name":"submit-reading","aimUs":400000,"deadlineUs":2000000,"group":"cell","lateWorth":0.3,"repeat":"token","stream":false,"windowUs":1200000,"worth":3.0}],
"limits":{"cancel":true,"connectTimeoutUs":250000,"cpuUsPerRequest":0.0,"cpuUsPerS":731437,"keepaliveUs":30000000,"maxOpen":36571,
"maxRetryAfterUs":1000000,"multiplex":1,"peers":false,"probes":true,"retryAfter":true,"secondCopies":true,"sendCap":6},
"loadReport":{"fields":["x0","x1","load_share"],"source":"on_probe"},
"prices":{"connection":0.0,"crossZone":0.0,"discovery":0.0,"handshake":0.0,"lateFail":0.05,"moves":0.0,"origin":0.0,"peer":0.011,"probe":0.04,"waste":0.038},
"rules":{"answerSlackUs":20000,"askEveryUs":10000000,"coldUs":14000000,"drainGraceUs":500000,"fallMultiple":2.0,"fallUs":3000000,"startCapacity":0.15},
"specifics":{"answersStamped":false,"commitWaits":false,"consistency":["lag_bound","causal","strong","eventual","mutate"],
"positionZeroUs":0,"reportX0":"position in seconds after zero","reportX1":"1 from a primary","roleInList":"off","serverChecks":"await",
"stalenessBoundUs":[300000,0,0,0,0],"tokenMode":"brought","waitUs":50000}}`
