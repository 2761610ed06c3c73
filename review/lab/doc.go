// Command lab runs the scripted cases of the review. Each case starts hosts as separate
// processes with the command and the settings template of the deploy file, and stands in
// for the platform's store, the engines, the services, the operator and the trainers.
package main
