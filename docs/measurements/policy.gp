# gnuplot docs/measurements/policy.gp
# Reads the JSON lines of `policy_bench --sweep ...`: with ',' and ':' as separators the values stand
# in the even columns.
set terminal svg size 1000,700 font "sans,12" background "white"
set output "docs/measurements/policy.svg"
set datafile separator ",:"
data = "docs/measurements/policy-placement.jsonl"
admission = "docs/measurements/policy-admission.jsonl"
points(file, deployment, knob) = sprintf("< grep '\"%s\",\"knob\":\"%s\"' %s", deployment, knob, file)
set multiplot layout 2,2
set grid
set key top left
set xlabel "hysteresis"
set ylabel "imbalance, worst 1 % of time"
plot points(data, "harrowgate", "hysteresis") using 6:10 with linespoints title "Harrowgate", \
     points(data, "raselinka", "hysteresis") using 6:10 with linespoints title "Raselinka", \
     1.15 with lines dashtype 2 title "goal"
set key bottom left
set xlabel "churn weight"
set ylabel "share of keys moved an hour"
plot points(data, "harrowgate", "churn_weight") using 6:12 with linespoints title "Harrowgate", \
     points(data, "raselinka", "churn_weight") using 6:12 with linespoints title "Raselinka"
set key top left
set xlabel "moves per minute"
set logscale x
set ylabel "imbalance, worst 1 % of time"
plot points(data, "harrowgate", "moves_per_minute") using 6:10 with linespoints title "Harrowgate", \
     points(data, "raselinka", "moves_per_minute") using 6:10 with linespoints title "Raselinka", \
     1.15 with lines dashtype 2 title "goal"
unset logscale x
set xlabel "counter requests queued per slot"
set ylabel "counter p99 at overload, by unloaded"
plot points(admission, "harrowgate", "counter_queue_per_slot") using 6:10 with linespoints title "Harrowgate", \
     points(admission, "raselinka", "counter_queue_per_slot") using 6:10 with linespoints title "Raselinka", \
     2 with lines dashtype 2 title "goal"
unset multiplot
